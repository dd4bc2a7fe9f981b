Feature: Placement avoids failing workers and classes that slow services down

  Scenario Outline: The state machine of failure attribution finds no violation with seed <seed>
    When the failure attribution machine runs with seed <seed> and 60 examples
    Then the failure attribution machine finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Without the guard "<guard>" the failure attribution machine finds "<violation>"
    When the failure attribution machine runs with seed 1 and 200 examples without the guard "<guard>"
    Then the failure attribution machine finds "<violation>"

    Examples:
      | guard                       | violation                    |
      | cap of each zone            | quarantined in zone          |
      | one count for a failing job | healthy workers              |
      | one probe at a time         | two probes at once           |
      | a lost probe is forgotten   | may not be probed            |
      | a success clears            | quarantined after a success  |

  Scenario Outline: At its bound of <bound> the failure attribution drops the oldest
    When the failure attribution is filled beyond its bound of <bound>
    Then it keeps the newest of <bound> and no more than the bound

    Examples:
      | bound           |
      | workers         |
      | jobs            |
      | starts          |
      | jobs per worker |
      | ends            |

  Scenario: A quarantined worker is assigned one probe, which is neither urgent nor a failed task
    Given a shard with one worker that fails three jobs and one healthy worker
    When the pause before the probe has passed and urgent and normal jobs wait
    Then only a normal job is started on the failing worker
    When the probe completes
    Then the worker is no longer quarantined

  Scenario Outline: The state machine of learned interference finds no violation with seed <seed>
    When the interference machine runs with seed <seed> and 100 examples
    Then the interference machine finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: Without the guard "<guard>" the interference machine finds "<violation>"
    When the interference machine runs with seed 1 and 100 examples without the guard "<guard>"
    Then the interference machine finds "<violation>"

    Examples:
      | guard                         | violation      |
      | credit by time of measurement | was credited   |
      | recorded history only         | was credited:  |

  Scenario Outline: At its bound of <bound> the learned interference drops the oldest
    When the learned interference is filled beyond its bound of <bound>
    Then it keeps the newest of <bound> and no more than the bound

    Examples:
      | bound                |
      | pairs                |
      | workers with history |
      | changes per worker   |

  Scenario: A class known to interfere is placed elsewhere, and one task of an unknown class may start
    Given measurements in which class "interfering" doubles the service time of "desk"
    Then a task of class "interfering" is placed on a worker without "desk"
    And the expected slowdown of an unknown class rises from 0 to 1 once one of its tasks runs there
    And the interfering class is unknown again after 300 s without measurements
