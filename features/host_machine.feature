Feature: The host keeps its guarantees with faulty owners, links and workers

  Scenario Outline: The state machine of the host finds no violation with seed <seed>
    When the host machine runs with seed <seed> and 300 examples
    Then it finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: The state machine of the host notices that the guard "<guard>" is missing
    Given the guard "<guard>" is removed
    When the host machine runs with seed <seed> and 3000 examples
    Then it finds "<violation>"

    Examples:
      | guard                              | seed | violation                   |
      | capacity of the host               | 2    | tasks exceed the capacity   |
      | recovery after a restart           | 2    | tasks exceed the capacity   |
      | grant counted from the heartbeat   | 1    | runs past its grant         |
      | leases end with the grant          | 1    | runs past its grant         |
      | epoch of the owner                 | 3    | a grant of a former owner   |
      | numbers of stopped attempts        | 1    | ended                       |
      | slots                              | 1    | more than its slots         |
      | connections                        | 1    | too many callers wait       |
      | abandoned requests keep their slot | 1    | more than its slots         |
      | recorded keys                      | 2    | runs twice                  |
      | unknown key with a higher number   | 1    | runs twice                  |
