Feature: Second runs of tasks after a takeover and in crowded services

  # A new owner gave a run the number of a copy that the former owner had started but not stored.
  Scenario: A new owner gives no number twice when a former owner's copy is reported late
    Given a new owner that knows run 1 of a task, whose copy on worker 2 it has not heard of
    When run 1 fails and worker 2 reports its run only after that
    Then no two workers were told to start the same run

  # The end of the former owner's copy made the end of the new run look as processed, and the task
  # never started again.
  Scenario: A task starts again although a former owner's copy was reported late
    Given a new owner that knows run 1 of a task, whose copy on worker 2 it has not heard of
    When run 1 fails and worker 2 reports its run only after that
    Then the task starts again after a further failure

  # The tasks of one job, which may have no more copies, hid the slow tasks of all other jobs.
  Scenario: A slow task gets a copy beside a job with many slow tasks
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a job of 30 slow tasks, and a slow task of a later job
    Then the task of the later job has a copy after 6.0 seconds

  # Starts that did nothing used up the copies of a task.
  Scenario: A task gets a copy after two refused starts of copies
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task whose copies are refused twice
    Then a third start of a copy follows within 3.0 seconds

  # The initial progress of a run counted as its progress, so the checkpoints of its copy were dropped.
  Scenario: The checkpoint of a copy counts while the progress of the first run is unknown
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task whose worker is cut off before its first poll, and its copy
    When the copy is stopped with the checkpoint "saved"
    Then the checkpoint of the task is "saved"

  # Most lost connections are back at once.
  Scenario: No copy starts when the connection to an agent is lost for a moment
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a run that has taken 1.25 times its estimate when the connection to its agent is lost
    Then no copy has started
