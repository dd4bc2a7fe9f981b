Feature: Jobs of queues on which the placement service names the workers

  Background:
    Given an advised queue and 3 workers, of which the second is allowed

  Scenario: A step starts only where the service allows it
    Given a job of 2 tasks on the advised queue
    Then nothing starts before the service was asked about 3 workers
    And both tasks start on the second worker with its ticket

  Scenario: Only allowed workers are asked about again when tickets have expired
    Given a job of 2 tasks on the advised queue
    And the service was asked
    When the tickets have expired before anything started
    Then the service is asked about the second worker only

  Scenario: A worker in a new life is asked about again
    Given a job of 2 tasks on the advised queue
    And the service was asked
    When the second worker restarts before anything started
    Then the service is asked about the second worker only

  Scenario: A ticket that the worker refuses is not used again
    Given a job of 1 tasks on the advised queue
    And the service was asked
    When the start on the second worker is refused for its ticket
    Then the service is asked about the second worker only

  Scenario: The service is asked about others when the allowed workers are full
    Given a job of 1 tasks on the advised queue
    And the service was asked about the second worker only
    When the second worker has no room left
    Then the service is asked about 2 workers

  Scenario: Nothing is asked when no worker is allowed, or for a queue that is not advised
    Given a job of 2 tasks on the advised queue
    And the service was asked and allows no worker
    Then the service is asked nothing
    Given a job of 2 tasks on the plain queue
    Then the service is asked nothing

  Scenario: What is known of a job is dropped with it
    Given a job of 2 tasks on the advised queue
    And the service was asked
    When the job is cancelled on the advised queue
    Then nothing is known of its steps
