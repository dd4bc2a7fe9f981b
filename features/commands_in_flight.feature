Feature: Reports on a worker that cross commands on their way to it

  # The agent of a worker that did not answer reported that the lease of its runs had expired, while it still
  # held starts. The owner started the tasks elsewhere, and the agent carried out the starts as well.
  Scenario: A start that the agent has not answered is not lost with the lease of the worker
    Given 2 workers of 16 cores
    And the agents keep the starts that they get
    And a job of 1 task in a queue with max_attempts 3
    When the agent of the task reports that the lease of its runs has expired
    Then its task has started 1 times
    When the agent answers that the run has started
    Then its task has started 1 times
    When the agent of the task reports that the lease of its runs has expired
    Then its task has started 2 times

  Scenario: An agent does not report that the lease of its runs has expired while it holds a start
    Given an agent whose worker's clock shows 500 seconds
    When its worker does not answer until the lease has expired
    Then the agent reports that the lease of its runs has expired
    When a start for the silent worker is commanded
    Then the agent does not report that the lease of its runs has expired
    When the time for the start has passed
    Then the agent reports that the lease of its runs has expired

  Scenario: A start held by an agent whose worker does not answer does not run beside a second run
    Given a site of 1 entries and 2 agents whose links can be held
    When an agent is paused for 3.6 seconds and its worker does not answer for 1 seconds longer
    And jobs arrive as soon as the agent goes on
    Then the jobs are "completed" within 30 seconds at every entry
    And no promise is broken

  # A start of a former owner counted as settled before the lease of its last, repeated call had expired, and the
  # new owner started the task elsewhere.
  Scenario: A start of a former owner settles when the lease of its last call has expired
    Given an agent whose worker's clock shows 500 seconds
    When two calls of a start are not answered, the second one 0.8 seconds after the first
    And a new owner is followed whose stops are not answered
    Then the starts of the former owner have not settled 3.4 seconds after the first call
    And the starts of the former owner have settled 4.2 seconds after the first call

  Scenario: The starts of a former owner are not settled while one is in progress, and it is not repeated
    Given an agent whose worker's clock shows 500 seconds
    When a call of a start is not answered
    And a new owner is followed whose stops are not answered
    Then the starts of the former owner have not settled
    And the start is not repeated after the next poll

  # The lease of the call is on the clock of the former incarnation, and the new one has accepted no stop.
  Scenario: A start of a former owner is unsettled again when the worker restarts
    Given an agent whose worker's clock shows 500 seconds
    When two calls of a start are not answered, the second one 0.8 seconds after the first
    And a new owner is followed whose stops are not answered
    And the worker restarts after the start has been given up
    Then the starts of the former owner have not settled 4.2 seconds after the first call
    And the starts of the former owner have settled 14.0 seconds after the first call

  # The answer of the poll that finds the restart came from the new incarnation, but what the former one had accepted
  # counted for it. The new owner started the task elsewhere, while the new incarnation could carry out the start.
  Scenario: The poll that finds a restart does not report a start as settled that the former incarnation rejects
    Given an agent whose worker's clock shows 500 seconds
    When two calls of a start are not answered, the second one 0.8 seconds after the first
    And a new owner is followed whose stop the worker accepts
    Then the agent reports that the starts of the former owner have settled
    When the worker restarts after the start has been given up
    Then the agent does not report that the starts of the former owner have settled

  Scenario: A stop that the former incarnation accepted does not settle a start for the next one
    Given an agent whose worker's clock shows 500 seconds
    When two calls of a start are not answered, the second one 0.8 seconds after the first
    And a new owner is followed whose stop the worker accepts while it restarts
    Then the starts of the former owner have not settled
    And the agent does not report that the starts of the former owner have settled

  # The agent gave up its stops after 3 seconds, or with a stop of the owner that was in progress. All tasks that a
  # former owner may have started then waited until the start could not be carried out any more, for 12 seconds.
  Scenario Outline: An agent stops a start of a former owner for as long as the worker may carry it out
    Given an agent whose worker's clock shows 500 seconds
    When two calls of a start are not answered, the second one 0.8 seconds after the first
    And a stop for <stop> seconds is in progress and a new owner is followed
    And the worker restarts after the start has been given up
    And the worker answers stops <answer> seconds after its restart
    Then the starts of the former owner have not settled 0.2 seconds earlier
    And the starts of the former owner have settled within 1.0 seconds

    Examples:
      | stop | answer |
      | 1.0  | 1.5    |
      | 0.0  | 3.5    |

  # The owner started the task elsewhere at once. A worker may carry out an unanswered call late, also in a new
  # incarnation, whose clock has not reached the end of the lease in the call.
  Scenario: A start without an answer is not lost when the worker restarts before it has taken a stop
    Given 2 workers of 16 cores
    And starts and stops are not answered
    And a job of 1 task in a queue with max_attempts 3
    When the worker of the task restarts
    Then its task has started 1 times
    When starts and stops are answered again
    Then its task has started 2 times

  # The number of the foreign run became that of the current one. The run that went on no longer counted as the
  # task's, was stopped, and the task started a third time.
  Scenario Outline: A run goes on when a later run that a former owner started elsewhere <ends>
    Given a new owner to which 1 of 2 agents has not reported
    And a job that the former owner may have started
    When the other agent reports run 1 of the task as running
    And the first agent reports that run 2 of the task <ends>
    Then nothing is stopped and nothing has started
    When run 1 of the task ends as failed
    Then run 3 of the task starts

    Examples:
      | ends               |
      | has lapsed         |
      | crashed its worker |

  # A run that is being stopped is not listed, and the agent of a worker that stands still repeats its last poll.
  # The run was taken for one that never began, and the task started elsewhere while it went on.
  Scenario: A run that is being stopped is not lost by a poll from before the stop was over
    Given 2 workers of 16 cores
    And a job of 1 task in a queue with max_attempts 3
    When the worker stands still while it stops the run
    And the worker answers a poll that began before the stop was over
    Then its task has started 1 times
    When the worker goes on and does not list the run
    Then its task has started 2 times

  # Such a start must not be kept for ever: once the lease has expired nothing can run.
  Scenario: A start without an answer is lost with the lease of the worker
    Given 2 workers of 16 cores
    And starts and stops are not answered
    And a job of 1 task in a queue with max_attempts 3
    When the agent of the task reports that the lease of its runs has expired
    Then its task has started 2 times

  # The worker carried out the repetition after the stop had been given up.
  Scenario: A start is not repeated once the stop of its run was requested
    Given an agent whose worker does not answer the first call of a start
    When the stop of its run is requested before the start is repeated
    Then the worker was called once to start the run
    And the outcome of the start is "unknown"

  # The state of the first start counted for the second one.
  Scenario: A second start that the agent has not answered is not lost with the lease of the worker
    Given 2 workers of 16 cores
    And a job of 1 task in a queue with max_attempts 3
    When the run fails and the agents keep the starts that they get
    And the agent of the second start reports that the lease of its runs has expired
    Then its task has started 2 times
