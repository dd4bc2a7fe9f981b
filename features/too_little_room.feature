Feature: When there is too little room, what costs callers least is delayed or refused

  # By slack alone, most jobs of a burst began and most of them became late.
  Scenario: A burst of large jobs beside short urgent ones
    Given 28 seconds of load that exceeds the room by 60 percent, with a burst
    When it is replayed with each order of waiting tasks
    Then at least 1.1 times as many large jobs are in time as by slack alone
    And large jobs of the largest tenth are in time at least half as often as all
    And all short urgent jobs are in time with either order

  Scenario: An order that is only needed in a shortage changes nothing while there is room
    Given 12 seconds of load that exceeds the room by -40 percent, with a burst
    When it is replayed with each order of waiting tasks
    Then the same jobs are in time with either order

  Scenario Outline: With the policy <policy>, <first> goes before <second>
    Given jobs that wait while priority 2 is short of room
    When they are ranked by <policy>
    Then <first> goes before <second>

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
    When 10 of them are done
    Then the run times of the queue count as 3 times the estimates
    And one more that has waited for 2 objectives by its estimate can still be in time

  Scenario Outline: The room of a job that <ends> is released at once
    Given a worker with 4 cores and 3 jobs of 40 core-seconds
    Then the backlog is 120 core-seconds, and 4 cores do it
    When one of them <ends>
    Then the backlog is 80 core-seconds, and 4 cores do it

    Examples:
      | ends                                 |
      | is cancelled while it waits          |
      | is cancelled while it runs           |
      | is late by more than its late time   |

  Scenario: A new owner estimates the backlog once it knows what the former one started
    Given a new owner of 3 jobs of 40 core-seconds, whose worker has not reported
    Then it has no estimate
    When the worker reports
    Then the backlog is 120 core-seconds, and 4 cores do it

  Scenario Outline: With <policy>, a job that <case> is <answer>
    Given an entry that decides by <policy> and 400 seconds of work before each job
    When 8 jobs are submitted and the last one <case>
    Then it is <answer>

    Examples:
      | policy          | case                                               | answer   |
      | RefuseWorthless | is as large as the others                          | refused  |
      | AcceptAll       | is as large as the others                          | accepted |
      | RefuseWorthless | may wait for 300 seconds and be worth something    | accepted |
      | RefuseWorthless | is the first of its queue                          | accepted |
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
    Then of each queue and size at least 20 percent and at most 40 percent are accepted

  Scenario: A refusal says when to come again, and callers do not come together
    Given an entry that decides by RefuseWorthless and 400 seconds of work before each job
    When 200 jobs of all sizes are submitted to two queues
    Then each refusal is a 429 with a Retry-After of 1 to 10 seconds
    And no more than half of the refused callers come again in the same second
    And each refusal is counted, and explained from its log line

  Scenario: The estimate is told to entries of either version in a few hundred bytes
    Given the status of an owner with 30 queues
    Then it takes at most 700 bytes more than one without an estimate
    And an entry of the former version reads it
