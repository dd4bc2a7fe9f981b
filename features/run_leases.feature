Feature: Leases of runs at a worker that restarts

  # A lease is a time on the worker's clock, which begins anew with each incarnation. A lease on the clock of
  # the former one lasted as long as the worker allows in place of three seconds, while the owner waited for
  # the end of its grant only: the run went on while its task was started on another worker.
  Scenario: A start after the announcement of a new incarnation waits for the first poll
    Given an agent whose worker's clock shows 500 seconds
    When its worker announces a new incarnation whose clock shows 0 seconds
    And a start for the new incarnation is commanded
    Then no call has carried a lease of more than 3.0 seconds
    When a poll is answered
    Then the start is sent with a lease of at most 3.0 seconds

  Scenario: A start is not repeated to a new incarnation
    Given an agent whose worker's clock shows 500 seconds
    When a start is not answered and the worker restarts silently
    And a poll is answered
    Then the start has been sent once and its outcome is "unknown"

  Scenario: A start is not repeated before a poll shows which incarnation answers
    Given an agent whose worker's clock shows 500 seconds
    When a start is not answered and the worker restarts silently
    Then the start has been sent once within 0.5 seconds

  Scenario Outline: A poll after one that <failed> carries no lease
    Given an agent whose worker's clock shows 500 seconds
    When a poll <failed> and the worker restarts silently
    Then no call has carried a lease of more than 3.0 seconds

    Examples:
      | failed                          |
      | is not answered                 |
      | is refused                      |
      | meets another id of the worker  |

  Scenario: The answer of a former incarnation after the announcement of the next one does not count
    Given an agent whose worker's clock shows 500 seconds
    When a new incarnation is announced while a poll is on its way
    Then the poll fails and the agent follows the new incarnation

  # The worker restarted between two polls, so that the second one carried a lease on the former clock.
  Scenario: A lease that a new incarnation may have taken from its predecessor is reported
    Given an agent whose worker's clock shows 500 seconds
    When the worker restarts silently between two polls
    Then the agent reports that runs can be alive for 9.0 to 12.0 seconds
    And an owner that gets this report waits as long before it takes the runs for lost

  Scenario: A worker that comes back after an outage has no lease of its predecessor
    Given an agent whose worker's clock shows 500 seconds
    When the worker refuses connections for 4.0 seconds and comes back in a new incarnation
    Then the agent reports that runs can be alive for 0.0 to 3.2 seconds

  Scenario Outline: Runs never outlive what the agent reports, seed <seed>
    Given workers that restart, lose calls and carry out calls late by seed <seed>
    When their agents poll them and start runs for 300 runs of 60 steps
    Then no lease at a worker ends after the time that its agent reports

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
