Feature: Tasks that crash the workers that start them

  # Only the agent sees the crash itself. Without the time since each start, the task that caused it
  # cannot be told from those that shared the worker.
  Scenario: An agent tells which runs were on its worker when it crashed, until that is stored
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker refuses connections for 1.0 seconds
    Then it reports no crash
    When its worker refuses connections for 3.0 seconds
    Then it reports a crash under runs of 5.0 and 0.02 seconds
    When its worker is there again in a new incarnation
    Then it reports a crash under runs of 5.0 and 0.02 seconds
    When the consequences of the crash are stored
    Then it reports no crash

  Scenario: A worker that does not answer for a while and has its runs has not crashed
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker keeps silent for 4.0 seconds
    Then it reports no crash
    When its worker refuses connections for 1.0 seconds
    Then it reports a crash under runs of 5.0 and 0.02 seconds
    When its worker is there again with its runs
    Then it reports no crash

  Scenario: A worker that leaves as announced has not crashed
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker announces that it leaves
    And its worker is there again in a new incarnation
    Then it reports no crash
