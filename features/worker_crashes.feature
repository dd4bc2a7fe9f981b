Feature: Tasks that crash the workers that start them

  # Only the agent sees the crash itself. Without the time since each start, the task that caused it
  # cannot be told from those that shared the worker.
  Scenario: An agent tells which runs were on its worker when it crashed, until that is stored
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker refuses connections for 1.0 seconds
    Then it reports no crash
    When its worker refuses connections for 3.0 seconds
    Then it reports a crash under runs of 5.0 and 0.02 seconds
    When it hears of a new incarnation that refuses connections for 1.0 seconds
    Then it reports a crash under runs of 5.0 and 0.02 seconds
    When its worker is there again in a new incarnation
    Then it reports a crash under runs of 5.0 and 0.02 seconds
    When the consequences of the crash are stored
    Then it reports no crash

  # Once the owner had stored a crash, an agent whose worker stayed down logged and counted it again
  # with each report.
  Scenario: A crash is told once although the worker stays down
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker refuses connections for 4.0 seconds
    Then it reports a crash under runs of 5.0 and 0.02 seconds
    When the consequences of the crash are stored
    And its worker refuses connections for 2.0 seconds
    Then it reports no crash
    And it has counted 1 crash

  Scenario: A worker that does not answer for a while and has its runs has not crashed
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker keeps silent for 4.0 seconds
    Then it reports no crash
    When its worker refuses connections for 1.0 seconds
    Then it reports a crash under runs of 5.0 and 0.02 seconds
    When its worker is there again with its runs
    Then it reports no crash

  # A worker that restarted at once answered the poll that its predecessor had got. The crash counted as
  # noticed only at the end of that poll, so crashes at the same point of a task's runs seemed to differ.
  Scenario Outline: A crash is timed by the start of the next incarnation if that answers a poll in progress
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker restarts at once and answers 0.35 seconds later, with the host's clock off by <jump> seconds
    Then it reports a crash under runs of <old> and <new> seconds

    Examples: The host's clock may jump; the crash stays between the last sign of life and the answer
      | jump  | old  | new  |
      | 0.0   | 5.0  | 0.02 |
      | 60.0  | 4.98 | 0.0  |
      | -60.0 | 5.35 | 0.37 |

  # A sound task was given up: a run that began after the restart counted as crashed at its start.
  Scenario: A run that began on the next incarnation is not under the crash of the former one
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker restarts at once, accepts another run and answers 0.35 seconds later
    Then it reports a crash under runs of 5.0 and 0.02 seconds

  Scenario: A worker that leaves as announced has not crashed
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker announces that it leaves
    And its worker is there again in a new incarnation
    Then it reports no crash

  # The owner repeats a stop each 0.4 s, and each command was retried every 50 ms: a worker that refused
  # connections got thousands of calls, and the agent's log as many lines.
  Scenario: Repeated stops of a run share their calls to a worker that refuses connections
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When its worker refuses connections and the owner repeats a stop 4 times within 1.2 seconds
    Then at most 8 stops are sent
    And all commands are answered as not accepted

  # A run that was lost with its worker was started again without limit: one task crashed ten workers
  # one after the other (bmfw-stand, deploy/days/deadly.toml --seed 13).
  Scenario Outline: A task that crashes each worker <point> is given up
    Given 8 workers with 3 services and 20 short tasks a second
    When a job is submitted whose task crashes each worker <point>
    Then the job is failed after at most <crashes> crashes
    And no other job is failed, and lost runs start again within 3.0 seconds

    Examples:
      | point                       | crashes |
      | 0.01 seconds after its start | 3       |
      | 0.6 seconds after its start | 5       |
      | 2.0 seconds after its start | 5       |

  Scenario: Several tasks that crash their workers are given up, and no other
    Given 8 workers with 3 services and 20 short tasks a second
    When 4 such jobs are submitted whose tasks crash after 0.01 seconds
    Then the jobs are failed after at most 3 crashes each
    And no other job is failed, and lost runs start again within 3.0 seconds

  Scenario Outline: A <kind> task that crashes each worker is given up
    Given 8 workers with 3 services and 20 short tasks a second
    When a job with a <kind> task is submitted that crashes each worker
    Then the job is failed after at most <crashes> crashes

    Examples:
      | kind       | crashes |
      | continuous | 3       |
      | batch      | 3       |
      | repeated   | 3       |
      | gang       | 5       |

  # A worker that leaves a start unanswered and crashes may not have begun the run. Two such crashes were
  # taken as proof that the task crashes its workers.
  Scenario Outline: A task is <result> after <count> crashes of workers that had not answered its start
    Given 6 workers that leave starts unanswered
    When <count> of them crash 0.05 seconds after they got the start of a task, <owner>
    And the other workers answer starts
    Then the task is <result>

    Examples:
      | count | owner                      | result   |
      | 2     | under one owner            | running  |
      | 2     | each under another owner   | running  |
      | 3     | under one owner            | given up |
      | 3     | each under another owner   | given up |

  Scenario: A task is given up after a crash before the answer to its start and two after it
    Given 6 workers that leave starts unanswered
    When 1 of them crash 0.05 seconds after they got the start of a task, under one owner
    And the other workers answer starts
    And 2 of them crash 0.05 seconds after they began the task
    Then the task is given up

  Scenario: An agent tells whether a run had certainly begun when its worker crashed
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When a start is not answered and its worker refuses connections for 4.0 seconds
    Then it reports a crash under two runs that had begun and one that may not have

  # The worker had accepted a stop of a start that it left unanswered, restarted under its id, and then
  # carried out the start: the new incarnation knew of no stop.
  Scenario Outline: A start that was not answered <seconds> seconds ago is <stopped> at the next incarnation
    Given an agent with a run of 5.0 seconds and one of 0.02 seconds on its worker
    When a start is not answered, its stop is accepted and its worker restarts <seconds> seconds later
    Then the start is <stopped> at the next incarnation

    Examples:
      | seconds | stopped     |
      | 4       | stopped     |
      | 11      | stopped     |
      | 13      | not stopped |

  # The entry that gave the last order is killed while the worker is down.
  Scenario: Crashes are counted across a change of the owner
    Given 8 workers with 3 services and 20 short tasks a second
    When a job is submitted whose task crashes each worker 0.01 seconds after its start
    And the owner changes after each crash
    Then the job is failed after at most 3 crashes

  Scenario: No job is given up because workers crash by themselves
    Given 8 workers with 3 services and 20 short tasks a second
    When 2 of the workers crash by turns every 4 seconds for 60 seconds
    Then no other job is failed, and lost runs start again within 3.0 seconds

  Scenario: Tasks that only shared a crashed worker are cleared
    Given 8 workers with 3 services and 20 short tasks a second
    When a worker crashes just after 10 tasks of 4.0 seconds have started on it
    Then these tasks run on within 1.5 seconds after the loss of their runs is known
    And they are cleared within 2.0 seconds more

  Scenario Outline: Random crashes and tasks that crash their workers, seed <seed>
    Given 10 workers with 4 services and 20 short tasks a second
    When workers crash under tasks and by themselves for 60 seconds by seed <seed>
    Then each of these tasks is started fewer than three times after three crashes
    And no other job is failed

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
