Feature: Second runs of tasks whose steps allow them

  # One worker of several holds up a job whose other tasks are done. Without copies the job waits for
  # the limit of an overdue run, or for the end of the grant of a host that is cut off.
  Scenario Outline: A job with a worker that <trouble> is <result> with <policy>
    Given 4 workers with the policy "<policy>" on copies
    And a job of 8 tasks of 1 second whose copies may run, with a worker that <trouble>
    Then the job is <result> after 3.7 seconds

    Examples:
      | trouble         | policy       | result    |
      | is slow         | CopySlowRuns | completed |
      | is slow         | NoCopies     | running   |
      | is cut off      | CopySlowRuns | completed |
      | is cut off      | NoCopies     | running   |
      | is unresponsive | CopySlowRuns | completed |
      | is unresponsive | NoCopies     | running   |

  Scenario: A run whose listed progress is old is not taken for slow
    Then a run that is listed at 35 percent and ran 0.93 seconds is not slow

  Scenario: A copy starts on another rack if one has room
    Given 4 workers with the policy "CopySlowRuns" on copies
    And worker 2 shares the rack of worker 1 and worker 3 has no room
    And a task that runs on worker 1 and its copy, which has started
    Then the copy is on worker 4

  # Copies would take the room of jobs that have not run at all.
  Scenario Outline: <copies> copies start while <what>
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a job of 8 tasks of 1 second whose copies may run, with a worker that is slow
    When copies are limited so that "<what>"
    Then <copies> copies have started after 2.5 seconds

    Examples:
      | copies | what                           |
      | 2      | nothing else waits             |
      | 2      | a less urgent task waits       |
      | 0      | an equally urgent task waits   |
      | 0      | no core is left to copies      |
      | 1      | one core is left to copies     |
      | 0      | no other worker has room       |
      | 0      | the queue allows 2 failed runs |
      | 0      | the tasks work as a gang       |
      | 0      | the step does not allow copies |

  # Tickets name the workers that may run a step.
  Scenario: A copy of a task on an advised queue starts only with a ticket
    Given 4 workers with the policy "CopySlowRuns" on copies
    And an advised queue with tickets for the workers 1 and 3
    And a task that runs on worker 1 and its copy, which has started
    Then the copy is on worker 3

  # Each row is one failure of a task that runs twice. "first" and "copy" tell which run goes on as the
  # current one; with "none" the task is done or its job is over, and with "new" it waits or starts anew.
  Scenario Outline: A task with a copy goes on as <left> when <event>
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task that runs on worker 1 and its copy, which has started
    When its runs meet this: "<event>"
    Then "<left>" of its runs goes on with <failures> failures and <starts> starts
    And after 9 seconds the job is <state> and nothing is reserved

    Examples:
      | event                                            | left  | failures | starts | state     |
      | the first run is done                            | none  | 0        | 2      | completed |
      | the copy is done                                 | none  | 0        | 2      | completed |
      | both runs are done                               | none  | 0        | 2      | completed |
      | the copy is done and the first worker is cut off | none  | 0        | 2      | completed |
      | the first run is done while its stop is ignored  | none  | 0        | 2      | completed |
      | the first run fails                              | copy  | 1        | 2      | completed |
      | the copy fails                                   | first | 1        | 2      | completed |
      | both runs fail                                   | new   | 2        | 3      | completed |
      | the worker of the first run restarts             | copy  | 0        | 2      | completed |
      | the worker of the copy restarts                  | first | 0        | 2      | completed |
      | the worker of the first run is cut off           | copy  | 0        | 2      | completed |
      | the worker of the copy is cut off                | first | 0        | 2      | completed |
      | the polls of the first worker miss the run       | copy  | 0        | 2      | completed |
      | the polls of the copy's worker miss the run      | first | 0        | 2      | completed |
      | the first run is stopped                         | copy  | 0        | 2      | completed |
      | the job is cancelled                             | none  | 0        | 2      | cancelled |
      | its failures use up its attempts                 | none  | 4        | 2      | failed    |

  # The answer to the start of a copy is late or missing.
  Scenario Outline: The first run goes on when the start of a copy is <answer>
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task that runs on worker 1 and its copy, whose start is not answered yet
    When the start of the copy is answered with "<answer>"
    Then "first" of its runs goes on with 0 failures and 2 starts
    And after 9 seconds the job is completed and nothing is reserved

    Examples:
      | answer  |
      | no_room |
      | refused |
      | unknown |

  # The copy had become the current run before its start was confirmed.
  Scenario: A copy whose first run is lost before its start is answered goes on
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task that runs on worker 1 and its copy, whose start is not answered yet
    When its runs meet this: "the worker of the first run restarts"
    And the start of the copy is answered with "started"
    Then "copy" of its runs goes on with 0 failures and 2 starts

  Scenario: A crash of a worker under a copy counts for the task until its first run outlives it
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task that runs on worker 1 and its copy, which has started
    When its runs meet this: "the worker of the copy crashes"
    Then run 1 goes on and clears the task of the crash under run 2

  # A copy begins at an older checkpoint than the first run has reached.
  Scenario: A later run resumes from the checkpoint of the run that got furthest
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task that runs on worker 1 and its copy, which has started
    When the first run reports 60 percent with checkpoint "ahead" and the copy 20 with "behind"
    Then the checkpoint of the task is "ahead"

  # The step decides whether a new owner lets two runs of a former owner go on.
  Scenario Outline: A new owner that sees two runs of a task <keeps> runs if its step <allows> copies
    Given a new owner to which two agents report runs of a task whose step <allows> copies
    Then <keeps> of the runs go on after 0.5 seconds
    And the next run has number 6 although the worker of run 5 restarts

    Examples:
      | allows         | keeps |
      | allows         | 2     |
      | does not allow | 1     |

  Scenario: Decisions on copies are counted with their reasons
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task that runs on worker 1 and its copy, which has started
    When its runs meet this: "the copy fails"
    Then the outcomes "started.slower_than_estimate lost.failed" of copies are counted

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

  # Copies of tasks that simply take long cost cores and are done no sooner.
  Scenario Outline: No copy starts when each of <count> tasks takes 10 s and is expected to take <seconds>
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a job of <count> tasks that take 10 s, by their progress, and an estimate of <seconds> s
    Then 0 copies have started after 8.0 seconds

    Examples:
      | count | seconds |
      | 8     | 1.0     |
      | 8     | 0.0     |
      | 1     | 0.0     |

  # The first run was stopped shortly before it was done, and then its copy as well.
  Scenario Outline: <count> runs of a task are overdue that takes <factor> times its estimate everywhere
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task that takes <factor> times its estimate on each worker
    Then <count> runs are overdue after 20.0 seconds

    Examples:
      | factor | count |
      | 10.0   | 0     |
      | 1000.0 | 2     |

  # The copy was stopped, although the first run would not be done.
  Scenario: A new owner adopts a second run while the first one is being stopped
    Given a new owner that knows run 1 of a task, whose copy on worker 2 it has not heard of
    When run 1 is being stopped and worker 2 reports its run
    Then run 2 goes on as a copy

  # Such durations were far too short or long, and the step's other runs seemed slow or never slow.
  Scenario Outline: The duration of a run does not count if it <begins>
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a task whose run <begins> and that is done
    Then no duration of its run is known

    Examples:
      | begins                            |
      | ends before its start is answered |
      | is adopted from a former owner    |

  # The siblings of each running task were sought among all tasks of its job, five times a second.
  Scenario: The siblings of runs that have just started are not looked at
    Given 4 workers with the policy "CopySlowRuns" on copies
    And a job of 8 tasks of 1 second whose copies may run, with a worker that is slow
    Then no siblings are looked at within 0.4 seconds

  # Random failures of workers, links and runs; the machine also checks after each change that
  # reserved resources fit the runs.
  Scenario: No task runs twice unless its step allows it, whatever fails
    Then 40 random plays of 40 failures break no promise about the runs of tasks
