Feature: Faults over real processes
  Two entries and three agents with targets and workers run as processes on loopback.

  Scenario Outline: A batch job survives <fault> and no task runs in two places
    Given a running deployment with short grants
    And a job of 6 tasks of 4 seconds is running
    When the fault "<fault>" happens
    Then the job completes
    And no task ran in two places or completed twice

    Examples:
      | fault                                  |
      | owner killed                           |
      | owner frozen past its lease and thawed |
      | owner stopped as planned               |
      | agent killed and restarted             |
      | agent frozen past its grant and thawed |
      | agent stopped as planned and restarted |
      | store outage                           |
      | store outage and owner killed in it    |
      | store answers lost                     |
      | owner and agent killed                 |

  Scenario: In a store outage requests go on and new batch work gets a clear answer
    Given a running deployment with short grants
    When the store has an outage
    Then 20 requests at each entry are answered
    And a job submission is refused as not run with the code "store_unavailable"
    When the outage ends
    Then a job submission is accepted

  Scenario: An entry that starts in a store outage serves requests and takes its peer's settings
    Given a running deployment with short grants
    And the setting "request_timeout_ms" is edited to 1700
    When the store has an outage
    And the entry "entry-1" is killed and restarted
    Then 20 requests at each entry are answered
    And "entry-1" shows 1700 for "request_timeout_ms"
    And no entry shows an older value

  Scenario: A rolling replacement of all entries shows no caller an error
    Given a running deployment with short grants
    And callers send requests through a balancer
    When each entry is stopped as planned and replaced in turn
    Then every caller got the whole answer to its own request
    And each stop ended with exit code 0

  Scenario: A planned stop of an agent cuts off no request in progress
    Given a running deployment with short grants
    And each target takes 1.5 seconds for a request
    And callers send requests through a balancer
    When the agent "agent-0" is stopped as planned
    Then every caller got the whole answer to its own request
    And each stop ended with exit code 0

  Scenario Outline: A keyed request runs at most once through <fault>
    Given a running deployment with short grants
    And each target takes 1.5 seconds for a request
    When a keyed order is sent and the fault "<fault>" happens while it runs
    And the caller repeats the order with rising attempt numbers
    Then the order ran at most once
    And each repeat was answered with the first answer or an unknown outcome

    Examples:
      | fault            |
      | entry killed     |
      | home killed      |
      | home frozen      |
      | store outage     |

  Scenario: Operators race at two entries
    Given a running deployment with short grants
    When two operators set "request_timeout_ms" at both entries from the same revision
    Then one edit is accepted and the other gets the code "settings_conflict"
    And the accepted value is in force everywhere
