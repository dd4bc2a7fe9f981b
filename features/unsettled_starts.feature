Feature: Starts of a former owner that may still take effect

  # One start that a worker had not answered kept all tasks of the deployment from starting that a former owner may
  # have started, for up to 12 seconds.
  Scenario: An agent that waits for one start of a former owner keeps only its task waiting
    Given an agent whose worker's clock shows 500 seconds
    And two jobs that a former owner may have started
    When a call of a start is not answered
    And a new owner is followed whose stops are not answered
    And the agent reports to the new owner after its next poll
    Then only the task of the other job starts
    When the worker accepts the stop
    And the agent reports to the new owner after its next poll
    Then both tasks have started once

  # The unsettled starts of that poll do not include those of the owner that was followed during it.
  Scenario: An agent names no starts by a poll from before a change of the owner
    Given an agent whose worker's clock shows 500 seconds
    And two jobs that a former owner may have started
    When a call of a start is not answered
    And a new owner is followed whose stops are not answered
    And that owner starts the other task without an answer and is succeeded
    And the agent reports to the new owner before its next poll
    Then nothing starts

  # A start that is not known to the owner must keep its task from starting.
  Scenario Outline: All tasks wait while an agent of <version> version <reports> starts of a former owner
    Given two jobs that a former owner may have started
    When the agent of <version> version <reports> starts
    Then nothing starts

    Examples:
      | version    | reports                      |
      | the former | does not name the unsettled  |
      | this       | names an odd row among the   |
      | this       | has more than it may name of |
      | this       | has more ends beside the     |

  Scenario: An owner of the former version takes a report with unsettled starts as not settled
    Given two jobs that a former owner may have started
    Then the report without its last field is not settled

  Scenario: A start of a former owner that takes effect late becomes the run of its task
    Given two jobs that a former owner may have started
    When the agent names the start of the first task as unsettled
    And the worker carries the start out
    Then only the task of the other job starts
    And the late run is the run of the first task

  Scenario Outline: A task starts once the start of a former owner <settles>
    Given two jobs that a former owner may have started
    When the agent names the start of the first task as unsettled
    Then only the task of the other job starts
    When the start <settles>
    Then both tasks have started once

    Examples:
      | settles                                   |
      | has settled                               |
      | is lost with the lease of the worker      |
      | is lost with the grant of a silent agent  |

  # The member would have run alone, while the others waited for it.
  Scenario Outline: A start of a former owner keeps the gang of its task waiting
    Given a gang that a former owner may have started
    When the agent names the start of the first task as unsettled
    Then nothing starts
    When <event>
    Then all members of the gang have started together and nothing else runs

    Examples:
      | event                             |
      | the start has settled             |
      | the worker carries the start out  |

  # Three runs of the task would have been possible.
  Scenario: A task gets no copy while a start of a former owner may still take effect
    Given a running task that may have copies, and a start of it that has not settled
    Then nothing starts
    When its run fails
    Then nothing starts
    When the start has settled
    Then the task runs again

  # A task was started beside two others of its step although two may be on one worker.
  Scenario Outline: A sibling with <what> counts towards the limit of its step
    Given a worker on which a task has <what>, and a sibling that may not run beside it
    When the sibling could start
    Then it does not start on that worker

    Examples:
      | what                                    |
      | a start that may still take effect      |
      | an untracked run that is being stopped  |
