Feature: Restarts in a store outage
  Two entries and three agents with targets and workers run as processes on loopback.

  Scenario: An entry and an agent that restart in an outage serve, adopt and go on
    Given a running deployment with short grants
    And the setting "outage_hold_seconds" is edited to 60
    And a job of 6 tasks of 8 seconds is running
    When the store has an outage
    And an agent with running tasks is killed and restarted
    And an entry that does not own the job is killed and restarted
    Then the agent completes its attempts while the store is down
    And 20 requests at each entry are answered
    And the restarted entry shows 60 for "outage_hold_seconds"
    And no entry shows an older value
    When the outage ends
    Then the job completes
    And no task ran in two places or completed twice

  Scenario: Tasks pause when an outage outlasts the owner's hold, and go on after it
    Given a running deployment with short grants
    And a job of 6 tasks of 25 seconds is running
    When the store has an outage
    Then every task is paused at its worker
    When the outage ends
    Then the job completes
    And no task ran in two places or completed twice
