Feature: Repeated jobs

  # When a step of one occurrence was complete, tasks of other occurrences that waited for capacity were
  # also noted as not yet due. A task that had started meanwhile was then taken for waiting: it ran
  # twice, or its worker kept its resources reserved for ever and the job stopped.
  Scenario: Tasks that wait for capacity while a step of another occurrence completes start once
    Given 1 worker of 2 cores
    And a job of 2 steps of 2 tasks with 4 occurrences that are due each 0.2 seconds
    When 1.0 seconds pass
    And all running tasks are done and the scheduler plans at once
    And 1.0 seconds pass
    Then each task has started at most once

  Scenario: All occurrences complete although a worker crashes meanwhile
    Given 2 workers of 2 cores
    And a job of 2 steps of 2 tasks with 40 occurrences that are due each 0.3 seconds
    When 2.0 seconds pass with tasks that complete by themselves
    And one worker crashes
    Then the job is shown as "completed" within 90.0 seconds
    And no task was on two workers at the same time

  # A run that was lost had ended as done after all. The task was noted as not yet due meanwhile, and
  # started again.
  Scenario: A task whose lost run turns out to be done does not start again
    Given 1 worker of 16 cores
    And a job of 2 steps of 2 tasks with 4 occurrences that are due each 0.2 seconds
    When 0.5 seconds pass
    And a run is taken for lost and its end as done is listed right after
    And 1.0 seconds pass
    Then the task of that run has started once
