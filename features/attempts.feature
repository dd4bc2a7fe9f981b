Feature: Failed attempts of tasks

  # A job whose queue was missing in the configuration was given up at the first failed run.
  Scenario: A run that fails while its queue is removed counts as one failed attempt
    Given 2 workers of 16 cores
    And a job of 1 task in a queue with max_attempts 3
    When the queue is removed from the configuration
    And its task fails 1 times
    Then the job has not failed
    When the queue is added to the configuration with max_attempts 3
    Then its task has started 2 times
    When its task fails 2 times
    Then the job has failed
    And its task has started 3 times

  Scenario: The last attempt fails while the queue is removed
    Given 2 workers of 16 cores
    And a job of 1 task in a queue with max_attempts 3
    When its task fails 2 times
    And the queue is removed from the configuration
    And its task fails 1 times
    Then the job has not failed
    When the queue is added to the configuration with max_attempts 3
    Then the job has failed
    And its task has started 3 times

  Scenario: The attempts of a gang are counted together across the removal of its queue
    Given 3 workers of 16 cores
    And a gang of 3 tasks of 10 cores
    When the queue is removed from the configuration
    And one member fails
    Then the job has not failed

  # The former owner recorded the failures while it did not know the queue.
  Scenario: A new owner gives a job up whose attempts were used while its queue was removed
    Given an owner that knows the queue of a stored job whose task has failed 3 times
    When it takes over
    Then the job is shown as failed and nothing of it starts

  # Each member that failed in one run of the gang counted as an attempt.
  Scenario Outline: A gang of 4 tasks with max_attempts 4 is given up after 4 runs if <members>
    Given an owner that has a gang of 4 tasks in a queue with max_attempts 4
    When its runs fail since <members>
    Then the job is shown as failed after 4 runs of the gang

    Examples:
      | members                                               |
      | all members fail in each run                          |
      | one member fails in each run, each in turn            |
      | one member fails in each run, always the same         |
      | all members fail, also under the next owner           |
      | one end is reported a second late, by the next owner  |
