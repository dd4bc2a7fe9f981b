Feature: The agent over real sockets, with the stand-ins in the same process

  Background:
    Given an agent with its worker and target, connected to one entry

  Scenario Outline: A request refused as "<reason>" has not run
    Given the fault "<reason>"
    When the entry sends the request of that fault
    Then the reply says not run because of "<reason>"
    And the target has not executed the request

    Examples:
      | reason             |
      | no_slot            |
      | no_connection      |
      | draining           |
      | recovering         |
      | target_down        |
      | unknown_service    |
      | deadline_too_short |
      | deadline_passed    |
      | body_too_large     |
      | bucket_not_held    |
      | ledger_full        |

  Scenario Outline: A grant refused as "<reason>" starts nothing
    Given the fault "<reason>"
    When the entry sends the grant of that fault
    Then the grant is refused because of "<reason>"
    And the worker has started nothing

    Examples:
      | reason               |
      | draining             |
      | recovering           |
      | over_capacity        |
      | stale_grant          |
      | stale_epoch          |
      | old_attempt          |
      | earlier_attempt_held |
      | worker_unavailable   |
      | ledger_full          |

  Scenario Outline: A request whose answer is "<fault>" has an unknown outcome and ran once
    Given the target's answers are "<fault>"
    When the entry sends a request with a timeout of 300 ms
    Then the reply says unknown because of "<reason>"
    And the target has executed the request once

    Examples:
      | fault     | reason           |
      | truncated | target_broke_off |
      | frozen    | timed_out        |

  Scenario: A task is run, reported until it is confirmed, and forgotten
    Given the entry ignores the first 2 reports
    When the entry grants a task of 0.2 s
    Then it receives 3 reports that the task completed
    And the agent holds no attempt and the worker ran the task once

  Scenario: A task pauses when its grant lapses and resumes when it is renewed
    Given the entry renews nothing
    When the entry grants a task of 1.0 s for 0.5 s
    Then the worker has paused the task
    When the entry renews again
    Then the worker completes the task in 2 runs

  Scenario: A repeated key gets the recorded answer
    When the entry grants all buckets and sends one key 3 times at once
    Then all 3 replies are equal and the key ran once

  Scenario: An agent announces its site, and logs at the level of the settings tree
    Then the agent has announced its site
    When the entry sends the log level "debug" with revision 4
    Then the process logs at level "debug"
    When the entry sends the log level "" with revision 5
    Then the process logs at level "info"

  Scenario Outline: An entry of protocol version <version> owns a task
    Given the entry's frames say version <version>
    When the entry grants a task of 0.2 s
    Then it receives 1 reports that the task completed

    Examples:
      | version |
      | 0       |
      | 2       |

  Scenario: An entry of a distant protocol version is refused
    When the entry's frames say version 3
    Then the agent counts a refused version and is not connected

  Scenario: A granted bucket is announced without waiting for the heartbeat interval
    Given the heartbeat interval is 5 s
    When the entry grants a bucket
    Then the bucket is announced within 1 s

  Scenario: A planned stop reports a running task with its progress
    When the entry grants a task of 30.0 s
    And the agent is asked to stop
    Then the entry receives a drain message and a report "evicted" with a checkpoint
