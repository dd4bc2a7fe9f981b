Feature: A quarantine ends with its cause

  # Tasks that last waited for up to 24 s for workers on which runs had failed within one second.
  Scenario: Tasks that last start on their only place, a worker on which runs failed a while ago
    Given worker 1 of 3 has failed 6 runs of different jobs at once and is sound again
    And the others are away
    When 8 tasks that last are submitted
    Then all of them run within 3 seconds

  Scenario Outline: A <kind> starts on its only place, a sound worker that is <standing>, while the others are <other>
    Given worker 1 of <workers> has failed 6 runs of different jobs at once and is sound again
    And the others are <other>
    When a <kind> is submitted
    Then worker 1 is <standing>
    And it starts within <bound> seconds

    Examples:
      | kind                 | other | workers | standing    | bound |
      | task that lasts      | away  | 3       | quarantined | 2     |
      | task that lasts      | full  | 3       | quarantined | 2     |
      | task                 | away  | 3       | quarantined | 2     |
      | task                 | full  | 3       | quarantined | 3     |
      | batch task           | full  | 3       | quarantined | 3     |
      | gang                 | away  | 3       | quarantined | 2     |
      | gang                 | full  | 3       | quarantined | 3     |
      | task that has failed | full  | 3       | quarantined | 3     |
      | suspect of a crash   | full  | 3       | quarantined | 3     |
      | task that lasts      | away  | 2       | suspected   | 2     |
      | task that lasts      | full  | 2       | suspected   | 2     |
      | task                 | away  | 2       | suspected   | 2     |
      | task                 | full  | 2       | suspected   | 3     |
      | batch task           | full  | 2       | suspected   | 3     |
      | gang                 | away  | 2       | suspected   | 2     |
      | gang                 | full  | 2       | suspected   | 3     |
      | task that has failed | full  | 2       | suspected   | 3     |
      | suspect of a crash   | full  | 2       | suspected   | 3     |

  Scenario: A worker that is sound again is trusted after one success
    Given worker 1 of 3 has failed 6 runs of different jobs at once and is sound again
    When batch tasks are submitted for 6 seconds
    Then worker 1 is trusted again
    And one task had been started there before it was trusted

  Scenario: A worker that stays broken uses up no attempts of tasks that have room elsewhere
    Given worker 1 of 3 fails all that it starts
    When batch jobs are submitted for 60 seconds
    Then no job has failed
    And at most 10 runs have failed on worker 1
    And no task has failed twice

  # Each attempt was used up within a moment.
  Scenario: A task whose only place is broken for a moment keeps attempts for later
    Given worker 1 of 1 fails all that it starts for 2 seconds
    When a task with 3 attempts is submitted after jobs that have failed there
    Then the task is done in the end

  Scenario: Failures of a job that fails everywhere condemn no worker
    Given 6 workers on which all runs of a job fail, and a run of another job
    Then all workers are trusted

  Scenario: At most a third of the workers of a service and zone is in quarantine
    Given 9 workers in three zones that fail all that they start
    Then 1 worker of each zone is in quarantine and the others are suspected

  Scenario: A step that only workers in quarantine may run is asked about them
    Given worker 1 of 3 has failed 6 runs of different jobs at once and is sound again
    And a step of an advised queue that the others may not run
    Then the next request for advice names worker 1 only

  Scenario: A new incarnation of a worker is trusted
    Given worker 1 of 3 has failed 6 runs of different jobs at once and is sound again
    When worker 1 restarts
    Then worker 1 is trusted again

  Scenario Outline: The state machine finds no violation by the rules of the job scheduler with seed <seed>
    When the failure attribution machine runs by the rules of the job scheduler with seed <seed>
    Then the failure attribution machine finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |
