Feature: Workers and jobs that fail are told apart

  Scenario Outline: The state machine of the blame holds with seed <seed>
    When the blame machine runs with seed <seed> and 60 examples
    Then the blame machine finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Without the guard "<guard>" the blame machine finds "<violation>"
    When the blame machine runs with seed 1 and 200 examples without the guard "<guard>"
    Then the blame machine finds "<violation>"

    Examples:
      | guard                     | violation              |
      | cap of each zone          | aside in zone          |
      | one count for a bad job   | healthy workers        |
      | one probe at a time       | two probes at once     |
      | a lost probe is forgotten | gets none              |
      | a success clears          | aside after a success  |

  Scenario Outline: At its bound of <bound> the blame drops the oldest
    When the blame is filled beyond its bound of <bound>
    Then it keeps the newest of <bound> and no more than the bound

    Examples:
      | bound           |
      | workers         |
      | jobs            |
      | starts          |
      | jobs per worker |
      | ends            |

  Scenario: A set-aside worker gets one probe, which is neither urgent nor a failed task
    Given a shard with one worker that fails three jobs and one healthy worker
    When the pause before the probe has passed and an urgent and a normal job wait
    Then only the normal job is started on the failing worker
    When the probe completes
    Then the worker is no longer set aside
