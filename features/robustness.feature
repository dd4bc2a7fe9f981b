Feature: An unexpected error or a malformed item does not stop a process from serving

  # An error in one decision ended the loop that polls the worker. The process lived on, the lease of the
  # runs expired, and 297 runs were lost (trial of rawiya-tn-grown quiet-1).
  Scenario: A loop goes on after an unexpected error
    Given a loop that fails with an unexpected error 2 times
    When it runs under supervision
    Then it has gone on after each error
    And each error is counted and logged

  Scenario: A loop that returns is not begun again
    Given a loop that fails with an unexpected error 0 times
    When it runs under supervision
    Then it has run once

  Scenario Outline: A new owner takes over although <item> cannot be decoded
    Given a store with two jobs and an agent
    And <item> in the store is malformed
    When an owner reads the jobs
    Then it schedules the jobs except <skipped>

    Examples:
      | item                           | skipped    |
      | the first job                  | the first  |
      | the progress of the first job  | the first  |
      | the registration of the agent  | none       |

  # A job whose progress is not readable may have run already.
  Scenario: A job with unreadable progress is not started again
    Given a store with two jobs and an agent
    And the progress of the first job in the store is malformed
    When an owner reads the jobs
    Then the first job has no task that waits

  Scenario: A malformed submission in the inbox does not keep later ones from the owner
    Given an owner whose last heartbeat was stored 0.1 seconds ago
    When a malformed submission and then a new job arrive
    Then it schedules the job

  Scenario Outline: A malformed call of another entry is answered with an error
    When another entry sends the call "<call>" without its arguments
    Then the answer says that the outcome is unknown

    Examples:
      | call |
      | ping |
      | state |

  Scenario: A message whose handler fails does not end the connection
    Given a connection whose handler fails for the first message
    When two messages are sent
    Then the second one is answered
