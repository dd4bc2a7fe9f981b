Feature: The agent over real sockets, with the stand-ins in the same process

  Background:
    Given an agent with its worker and target, connected to one entry

  # Guards against a refused request that reaches the target; callers may send it again.
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

  # Guards against a refused attempt that runs; its owner may start the task on another host.
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

  # Guards against a request that is reported as not run, or sent again, although it has run.
  Scenario Outline: A request whose answer is "<fault>" has an unknown outcome and ran once
    Given the target's answers are "<fault>"
    When the entry sends a request with a timeout of 300 ms
    Then the reply says unknown because of "<reason>"
    And the target has executed the request once

    Examples:
      | fault     | reason           |
      | truncated | target_broke_off |
      | frozen    | timed_out        |

  # Guards against a result that is lost with a report, and against a second run of its task.
  Scenario: A task is run, reported until it is confirmed, and forgotten
    Given the entry ignores the first 2 reports
    When the entry grants a task of 0.2 s
    Then it receives 3 reports that the task completed
    And the agent tracks no attempt and the worker ran the task once

  # Guards against a task that runs after the end of its grant.
  Scenario: A task is paused when its grant expires and resumed when it is renewed
    Given the entry renews nothing
    When the entry grants a task of 1.0 s for 0.5 s
    Then the worker has paused the task
    When the entry renews again
    Then the worker completes the task in 2 runs

  # Guards against concurrent requests with one key that run more than once.
  Scenario: Requests with one key get the answer of the first one
    When the entry grants all buckets and sends 3 requests with one key at once
    Then all 3 replies are equal and the target ran the key once

  Scenario: An agent announces its site, and logs at the level of the settings tree
    Then the agent has announced its site
    When the entry sends the log level "debug" with revision 4
    Then the process logs at level "debug"
    When the entry sends the log level "" with revision 5
    Then the process logs at level "info"

  # Guards against an upgrade that breaks connections between neighbouring protocol versions.
  Scenario Outline: An entry of protocol version <version> owns a task
    Given the entry's frames have version <version>
    When the entry grants a task of 0.2 s
    Then it receives 1 reports that the task completed

    Examples:
      | version |
      | 0       |
      | 2       |

  Scenario: An entry whose protocol version differs by more than one is refused
    When the entry's frames have version 3
    Then the agent counts a refused version and is not connected

  # Guards against entries that refuse the keys of a bucket until the next heartbeat lists it.
  Scenario: A granted bucket is listed without waiting for the heartbeat interval
    Given the heartbeat interval is 5 s
    When the entry grants a bucket
    Then the agent lists the bucket within 1 s

  # Guards against a planned stop that loses the progress of running tasks.
  Scenario: A planned stop reports a running task with its progress
    When the entry grants a task of 30.0 s
    And the agent is asked to stop
    Then the entry receives a drain message and a report "evicted" with a checkpoint
