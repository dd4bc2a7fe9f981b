Feature: Reaction to surges and to use above declared sizes

  Scenario Outline: The state machine of the staged policy finds no violation with seed <seed>
    When the pressure machine runs with seed <seed> and 60 examples
    Then the pressure machine finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: The state machine of the staged policy notices that "<guard>" is missing
    Given the policy without "<guard>"
    When the pressure machine runs with seed <seed> and 400 examples
    Then the pressure machine finds "<violation>"

    Examples:
      | guard                | seed | violation                           |
      | minimum run time     | 1    | evicted before the minimum run time |
      | eviction rate limit  | 1    | evicted above the rate limit        |
      | rounds per surge     | 1    | too many rounds in one surge        |
      | protection           | 1    | an action on a part of a service    |
      | eviction for memory  | 1    | the host stays above its memory     |
      | raising of limits    | 1    | the reaction never ends             |

  # Guards against a detector that oscillates between its thresholds or follows a long surge.
  Scenario: A surge begins once, lasts as long as the higher level and ends once
    Given a level that doubles for 600 s and then returns
    Then one surge begins within 3 s of the rise and ends within 15 s of the fall

  Scenario: A level between the two thresholds begins no surge
    Given a level that swings between 1.25 and 1.45 of the usual one
    Then no surge begins

  Scenario Outline: The headroom of a firm with latency weight <tail> and throughput weight <batch>
    Then the headroom rises from 0.10 to <share> in a surge and returns in steps of 0.05

    Examples:
      | tail | batch | share |
      | 0.6  | 0.2   | 0.175 |
      | 0.2  | 0.6   | 0.125 |

  # Guards against an order of eviction that loses more unsaved work than needed.
  Scenario: Tasks are evicted in the order of their unsaved work, urgent ones last
    Then "u1:urgent:0 n9:normal:9 n2:normal:2" are evicted in the order "n2 n9 u1"

  # Guards against a list of eviction times that grows with each eviction for memory.
  Scenario: The memory of the eviction limit is bounded
    Then 1000 evictions at once keep 3 times at a limit of 3

  # Guards against a surge of one service that is not seen among the other services of its region.
  Scenario: A region surges when one of its services does
    Given an entry that receives 40 requests per second of "a" and of "b"
    When the requests of "a" double for 5 s
    Then the region surges
    When the requests of "a" return for 20 s
    Then the region does not surge

  Scenario: The number of services with a surge detector is bounded
    Then an entry detects surges of 256 of 300 services
