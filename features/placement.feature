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

  Scenario Outline: The state machine of the credit for late measurements holds with seed <seed>
    When the credit machine runs with seed <seed> and 100 examples
    Then the credit machine finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Without the guard "<guard>" the credit machine finds "<violation>"
    When the credit machine runs with seed 1 and 100 examples without the guard "<guard>"
    Then the credit machine finds "<violation>"

    Examples:
      | guard                  | violation      |
      | credit by time taken   | was credited   |
      | kept history only      | was credited:  |

  Scenario Outline: At its bound of <bound> the interference drops the oldest
    When the interference is filled beyond its bound of <bound>
    Then it keeps the newest of <bound> and no more than the bound

    Examples:
      | bound   |
      | pairs   |
      | hosts   |
      | history |

  Scenario: A known loud class goes elsewhere, and one task of an unknown class is let in
    Given measurements that class "loud" doubles the time of service "desk"
    Then a task of class "loud" goes to a worker without "desk"
    And the expected slowdown of an unknown class rises from 0 to 1 once one task of it is there
    And the loud class is unknown again after 300 s without measurements
