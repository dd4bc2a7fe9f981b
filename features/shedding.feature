Feature: An agent keeps its host within its capacity, with the stand-ins in the same process

  Background:
    Given an agent with its worker and target, connected to one entry

  # Guards against a host whose use of cores stays over its capacity, against evictions before
  # throttling, and against limits that remain after the load.
  Scenario: Use far above the declared size is throttled, checkpointed and evicted
    Given tasks may be evicted after 1 s, at most 6 a minute
    When the entry grants 3 tasks of 1 core and they have run for 1.5 s
    And tasks use 8 times their size and the service uses 3.8 of 4 cores
    Then the use of cores exceeds the capacity for at most the stated bound
    And 2 tasks were throttled, checkpointed and then evicted because of "cores"
    And the entry receives 2 reports of evicted tasks with a checkpoint
    And the worker runs 1 task
    When the load ends
    Then the remaining task has no limit and the host no longer sheds load

  # Guards against eviction limits that keep the host over its memory.
  Scenario: A task is evicted at once for memory over the capacity, whatever the limits
    Given tasks may be evicted after 300 s, at most 0 a minute
    When the entry grants 3 tasks of 1 core and they have run for 0.5 s
    And tasks use 4 times their memory
    Then the use of memory exceeds the capacity for at most the stated bound
    And the entry receives 1 reports of evicted tasks with a checkpoint
    And the worker runs 2 task

  # Guards against new batch tasks on a host that stops others, and against a service whose buckets
  # are refused because of the batch tasks.
  Scenario: A host that sheds load accepts buckets and no tasks
    Given the host sheds load
    Then a grant of a task is refused because of "shedding" and one of a bucket is accepted
    And the agent announces no free cores

  # Guards against batch tasks on the cores that are kept free for the service.
  Scenario: The headroom is neither announced as free nor granted to tasks
    Given a headroom of 0.25
    Then the agent announces 3 free cores and refuses a task of 3.1 cores as "over_capacity"

  # Guards against tasks that stay throttled by a former agent process.
  Scenario: A restarted agent removes limits that it does not know
    Given a task that a former agent process limited to 0.1 cores
    Then the remaining task has no limit and the host no longer sheds load

  # Guards against an agent that waits for its own service to surge before it keeps cores free.
  Scenario: The headroom rises when another service of the region surges
    When the entry reports a surge of the region
    Then the agent's headroom is above 0.1
    When the entry reports no surge of the region
    Then the agent's headroom returns to 0.1
