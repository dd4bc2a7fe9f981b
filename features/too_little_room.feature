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

  # Without refusals, callers waited for jobs that were worth nothing when they completed.
  Scenario: A load of several times the room
    Given 2 plays of 20 seconds with a load of 500 percent of the room and a burst
    When they are replayed with and without refusals
    Then at least 5 percent of the batch jobs are refused at once
    And at most 5 percent of these would be served if all were accepted
    And no fewer batch jobs are served than if all were accepted

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

  Scenario: An operator is told why a job has not begun in time
    Given a worker with 4 cores and 3 jobs of 40 core-seconds
    When the last of them has waited for 30 seconds
    Then that is logged once, and explained with the work before it

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
      | RefuseWorthless | got no answer from the store and then a refusal    | accepted |
      | RefuseWorthless | comes while the store can be written and not read  | accepted |
      | RefuseWorthless | comes 3 seconds after the owner died               | accepted |
      | RefuseWorthless | comes while the owner is of the former version     | accepted |
      | RefuseWorthless | comes to the owner itself                          | refused  |

  # Such an owner would refuse jobs by a backlog that its successor may have worked off.
  Scenario: An owner without authority tells no estimate
    Given an entry that decides by RefuseWorthless and 400 seconds of work before each job
    When the entry is the owner and updated its estimate 3 seconds ago
    Then it tells no estimate, and refuses no job

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
