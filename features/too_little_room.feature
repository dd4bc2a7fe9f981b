Feature: When there is too little room, what costs callers least is delayed or refused

  # By slack alone, most jobs of a burst began and many of them completed too late to be worth anything.
  Scenario: A burst of large jobs beside short urgent ones
    Given 3 plays of 28 seconds with a load of 160 percent of the room and a burst
    When they are replayed with each order of waiting tasks
    Then at least 1.2 times as many batch jobs are served as by slack alone
    And the largest tenth and the fifth below it are served no less often than by slack alone
    And at most 1 short urgent job more is late

  Scenario: An order that is only needed in a shortage changes nothing while there is room
    Given 2 plays of 12 seconds with a load of 60 percent of the room and a burst
    When they are replayed with each order of waiting tasks
    Then the same jobs are served with either order

  Scenario Outline: With the policy <policy>, <first> goes before <second>
    Given jobs that wait while priority 2 is short of room
    When the waiting jobs are ranked by <policy>
    Then in the ranking <first> goes before <second>

    Examples:
      | policy          | first          | second         |
      | LeastCostFirst  | begun          | tight          |
      | LeastSlackFirst | tight          | begun          |
      | LeastCostFirst  | late           | worthless      |
      | LeastSlackFirst | worthless      | late           |
      | LeastCostFirst  | tight          | late           |
      | LeastCostFirst  | waiting longest | begun         |
      | LeastSlackFirst | begun          | waiting longest |
      | LeastCostFirst  | underestimated | begun          |

  Scenario: Run times of finished runs correct the estimates of their queue
    Given a worker with 4 cores and jobs whose tasks take 3 times their estimates
    When 10 of these jobs are done
    Then the run times of the queue count as 3 times the estimates
    And one more that has waited for 2 objectives by its estimate can still be in time

  Scenario Outline: The room of a job that <ends> is released at once
    Given a worker with 4 cores and 3 jobs of 40 core-seconds
    Then the backlog is 120 core-seconds, and 4 cores do it
    When one of the three jobs <ends>
    Then the backlog is 80 core-seconds, and 4 cores do it

    Examples:
      | ends                                 |
      | is cancelled while it waits          |
      | is cancelled while it runs           |
      | is late by more than its late time   |

  Scenario: A new owner estimates the backlog once it knows what the former one started
    Given a new owner of 3 jobs of 40 core-seconds, whose worker has not reported
    Then the owner has no estimate of the backlog
    When the worker of the new owner reports
    Then the backlog is 120 core-seconds, and 4 cores do it

  Scenario Outline: With <policy>, a job that <case> is <answer>
    Given an entry that decides by <policy> and 400 seconds of work before each job
    When the entry gets a job that <case>
    Then its submission is <answer>

    Examples:
      | policy          | case                                               | answer   |
      | RefuseWorthless | is as large as the others                          | refused  |
      | AcceptAll       | is as large as the others                          | accepted |
      | RefuseWorthless | may wait for 300 seconds and be worth something    | accepted |
      | RefuseWorthless | is of the share that is always accepted            | accepted |
      | RefuseWorthless | has a continuous step                              | accepted |
      | RefuseWorthless | is of a more urgent queue                          | accepted |
      | RefuseWorthless | was stored by an earlier attempt at another entry  | accepted |
      | RefuseWorthless | was sent before and that write got no answer       | accepted |
      | RefuseWorthless | comes while the store can be written and not read  | accepted |
      | RefuseWorthless | comes 3 seconds after the owner died               | accepted |
      | RefuseWorthless | comes while the owner is of the former version     | accepted |
      | RefuseWorthless | comes to the owner itself                          | refused  |

  Scenario: No queue and no size of job is refused altogether
    Given an entry that decides by RefuseWorthless and 400 seconds of work before each job
    When 400 jobs of all sizes are submitted to two queues
    Then of each queue and size at least 10 percent and at most 50 percent are accepted

  Scenario: A refusal says when to come again, and callers do not come together
    Given an entry that decides by RefuseWorthless and 400 seconds of work before each job
    When 200 jobs of all sizes are submitted to two queues
    Then each refusal is a 429 with a Retry-After of 1 to 10 seconds
    And no more than half of the refused callers come again in the same second
    And each refusal is counted, and explained from its log line

  Scenario: The estimate is told to entries of either version in a few hundred bytes
    Given the status of an owner with 30 queues
    Then the status takes at most 700 bytes more than one without an estimate
    And an entry of the former version reads it

  # Guards against refusals while cores are free and nothing waits.
  Scenario Outline: A job that could start at once is accepted <case>
    Given 1 worker with 16 cores, most of them free <case>
    Then 8 jobs of one core-second are accepted

    Examples:
      | case                                          |
      | beside 10 long runs of a more urgent queue    |
      | beside a long job of dependent steps          |
      | while another service is short of room        |

  # Guards against refusals by a drain rate of 0 at the first estimate of a new owner.
  Scenario: A new owner whose workers are free has a drain rate
    Given a new owner of 20 late jobs whose runs have all lapsed
    Then its first estimate has the rate of its free workers

  # Guards against sizes of runs that are counted from the start of the clock.
  Scenario: A run that ends before its start is answered does not raise the drain rate
    Given a worker with 4 cores whose run ends before its start is answered
    Then the drain rate is at most 8 cores

  # Guards against short run times, since a new owner does not know when adopted runs started.
  Scenario: Adopted runs do not correct the estimates
    Given a new owner that adopts 20 runs of 10 seconds 2 seconds before they end
    Then the run times of the queue count as estimated

  # Guards against a waiting job that is starved by one that can never start.
  Scenario: A late job goes first although an older one can never start
    Given 150 seconds of load that exceeds the room, after a job without workers and a large job
    Then the large job has ended

  # Guards against a day on which large jobs are served less than half as often as all.
  Scenario: Large jobs are accepted at least half as often as all
    Given a backlog that is too long for jobs that are not small
    When 3000 jobs of very different sizes are submitted
    Then the largest tenth and the fifth below it are accepted at least half as often as all

  # Guards against a refusal of a job that an earlier attempt is storing.
  Scenario: A second attempt that the store turns away does not hide the first
    Given an attempt to store a job that has no answer yet
    When the store turns a second attempt away
    Then the job may still be stored

  # Guards against refusals by what a former owner believes.
  Scenario: The estimate of a former owner is ignored
    Given an entry that knows the owner of term 7 and its estimate
    When the owner of term 6 sends another estimate
    Then the entry still has the estimate of term 7

  Scenario: An owner does not send an estimate that it no longer updates
    Given an owner whose estimate is 20 seconds old
    Then it sends no estimate

  # Guards against an order by id after a takeover, since a new owner reads the jobs by id.
  Scenario: Of jobs with equal cost the oldest starts first under a new owner
    Given a new owner of 3 equal jobs, of which the one read last is the oldest
    When it plans while their priority is short of room
    Then the oldest job starts first

  # Guards against an order for a shortage where there is none.
  Scenario: A shortage on the workers of another service changes no order
    Given jobs that wait while priority 2 is short of room
    When the shortage is on the workers of another service
    Then the waiting jobs are ranked as by LeastSlackFirst

  # Guards against callers that wait for a slow store before a refusal.
  Scenario Outline: Before a refusal, a job counts as possibly stored if <case>
    Given an entry beside another one, whose store is such that <case>
    Then a job may be stored, as the entry says within 0.3 seconds without the other one

    Examples:
      | case                                     |
      | a read takes 2 seconds                   |
      | a read is refused                        |
      | the last commits found the store down    |
      | an answer cannot be decoded              |

  Scenario: The estimate of an entry that does not own the jobs is ignored
    Given an entry that knows the owner of term 7 and its estimate
    When another entry that knows the owner of term 7 sends an estimate
    Then the entry still has the estimate of term 7

  Scenario: An owner without authority sends no estimate
    Given an owner whose estimate is 1 seconds old
    Then it sends an estimate
    When it has no authority any more
    Then it sends no estimate

  # Guards against gauges that show the backlog of a term that has ended.
  Scenario: The gauges of the backlog are 0 after the term
    Given an owner whose estimate is 1 seconds old
    When the gauges are set
    Then the gauge of priority 2 shows 80 core-seconds, and that of the drain rate 10 cores
    When the term ends
    And the gauges are set
    Then the gauge of priority 2 shows 0 core-seconds, and that of the drain rate 0 cores

  # Guards against a shortage that no room would end.
  Scenario Outline: A late job that <case> makes no priority short of room
    Given a worker that is full of work that is in time, and a late job that <case>
    Then no priority is short of room

    Examples:
      | case                         |
      | can never start              |
      | is worth nothing any more    |
