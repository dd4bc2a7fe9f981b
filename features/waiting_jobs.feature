Feature: Jobs that wait and jobs that have begun

  # The decision to start a task was taken for its start, and an unhealthy worker that refused all starts
  # made its jobs vanish from the number of waiting jobs.
  Scenario Outline: A job whose starts are all answered with "<answer>" is waiting, also for the next owner
    Given an owner and a worker that answers each start with "<answer>" and does nothing
    When a job is submitted and 5 seconds pass
    Then 1 job is waiting and the job is shown as pending
    When the next owner takes over and 1 seconds pass
    Then 1 job is waiting and the job is shown as pending

    Examples:
      | answer    |
      | refused   |
      | no_room   |
      | no_ticket |
      | unknown   |

  # An owner that has ended cannot say any more that the job has begun.
  Scenario Outline: A job has begun once <event>, also for the next owner and in the store
    Given an owner and a worker that answers each start with "unknown" and does nothing
    When a job is submitted and 2 seconds pass
    And this happens: "<event>"
    Then 0 jobs are waiting and the job is shown as running
    When the next owner takes over while all agents are cut off
    Then 0 jobs are waiting and the job is shown as running

    Examples:
      | event                                        |
      | the worker accepts a start                   |
      | the worker carries out an unanswered start   |
      | the worker lists the end of an unanswered run |

  # Owners of the former version store no more than the number of the last run of a task.
  Scenario Outline: A job of a former owner whose row says "<row>" <counts> as waiting
    Given a stored job of a former owner whose row says "<row>"
    When the next owner takes over while all agents are cut off
    Then the job <counts> as waiting

    Examples:
      | row                           | counts         |
      | last run 2                    | counts         |
      | last run 2, ended run 1       | does not count |
      | last run 1, with a checkpoint | does not count |

  # After the owner was killed, the other entries said that no job waits, or gave a number of any age.
  Scenario Outline: The number of waiting jobs is <answer> when <case>
    Given a job that waits
    When the number of waiting jobs is asked for while <case>
    Then the number is <answer>

    Examples:
      | case                                                | answer  |
      | the owner answers                                   | 1       |
      | the owner was lost 0.3 seconds after it answered    | 1       |
      | the owner was lost 1.9 seconds after it answered    | refused |
      | no owner is known                                   | refused |
      | the owner has stored no heartbeat for 1.6 seconds   | refused |
      | the owner is this entry                             | 1       |
      | this entry owned the jobs 1.6 seconds ago           | refused |
