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
