Feature: Log lines of several processes explain one job

  Scenario Outline: The end of <job> is told
    Given log lines of two processes
    When "<job>" is explained
    Then <lines> lines are shown
    And the cause contains "<cause>"

    Examples:
      | job              | lines | cause                                    |
      | aaaaaaaaaaaaaaaa | 4     | completed; on the way: 1 x run failed    |
      | bbbbbbbbbbbbbbbb | 2     | store turned away: the store answered 503 |
      | cccccccccccccccc | 1     | no task has started                      |
      | eeeeeeeeeeeeeeee | 2     | store turned away: the store did not answer the last 4 commits |
      | ffffffffffffffff | 1     | version 7 of the configuration has no such queue; the store had confirmed it 3.4 s before |
      | 1111111111111111 | 3     | failed (2 workers crashed under 1111111111111111.0.0.0); on the way: 1 x crash suspected |
      | 3333333333333333 | 3     | completed; on the way: 1 x copy started, 1 x copy won |
      | 2222222222222222 | 2     | completed; on the way: 1 x run moved out of a drained zone |
      | 4444444444444444 | 2     | had waited for 2.1 s: passed over; workers that could hold it: 9 no capacity, 3 quarantined |
      | 5555555555555555 | 1     | a former owner may have started it; 2 agents have not reported what became of it |
      | 6666666666666666 | 2     | not over: its tasks have started         |
      | dddddddddddddddd | 0     | no line names                            |

  Scenario: A pipe that nobody reads stops neither the process nor grows its memory
    Given a pipe that nobody reads
    When 5000 lines of 500 bytes are logged
    Then logging takes less than 2 seconds
    And at most 1200000 bytes are kept and the rest is counted
