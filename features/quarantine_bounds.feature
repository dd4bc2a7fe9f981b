Feature: No quarantine and no isolation holds a task back beyond its bound

  # A task that lost its worker is no probe, and each end of a run that had begun before the
  # quarantine postponed the time at which tasks without another place may start.
  Scenario: A task that lost its worker starts while runs that began before fail one by one
    Given worker 1 of 3 is in quarantine with 10 runs that began before, and the others are full
    When a task that lasts and has lost its worker waits while a run fails every 0.8 seconds
    Then the task that lasts runs within 7 seconds

  # Fresh tasks that no other worker can hold start at once, fail, and postpone that time too.
  Scenario: A task that lasts starts beside a stream of tasks that fail by their own fault
    Given worker 1 of 3 is in quarantine, it alone holds large tasks, and the others are full
    When a task that lasts waits while a large task is submitted and fails every 0.5 seconds
    Then the task that lasts runs within 7 seconds

  # Each attempt was used up within a second of the one before.
  Scenario: Tasks keep attempts while their only place is broken for 6 seconds
    Given worker 1 of 3 fails all that it starts for 6 seconds, and the others are away
    When 12 jobs of tasks with 3 attempts are submitted
    Then none of the 12 jobs has failed after 20 seconds

  # The probe is a task that lasts, and has to go on for as long as 10 seconds.
  Scenario: Starving tasks do not wait for the outcome of a long probe on a sound worker
    Given runs of two jobs have failed on worker 1 of 3 after 8 seconds, and the others are full
    When a task that lasts is its probe and 5 other jobs are submitted
    Then the 5 jobs have begun within 5 seconds

  # Until something else runs there, that looks like six workers that fail everything.
  Scenario: Two jobs that fail everywhere keep no worker in quarantine
    Given 6 workers on which all runs of two jobs fail
    When other tasks are submitted for 4 seconds
    Then all of these workers are trusted and ran other tasks

  Scenario: Many sound tasks that last start soon after a crash for which they are suspected
    Given 8 tasks that last have just started on a worker, and one other has room for them
    When the worker crashes for good
    Then all of them run on the other within 7 seconds of the report of the crash
