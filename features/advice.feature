Feature: Jobs of queues on which the placement service decides where steps may run

  Background:
    Given an advised queue and 3 workers, of which the second is allowed

  Scenario: A step starts only where the placement service allows it
    Given a job of 2 tasks on the advised queue
    Then nothing starts before advice on 3 workers is requested
    And both tasks start on the second worker with its ticket

  Scenario: Advice is requested again on allowed workers only when tickets have expired
    Given a job of 2 tasks on the advised queue
    And the service has responded
    When the tickets have expired before anything started
    Then the next request names the second worker only

  Scenario: Advice is requested again on a new incarnation of a worker
    Given a job of 2 tasks on the advised queue
    And the service has responded
    When the second worker restarts before anything started
    Then the next request names the second worker only

  Scenario: A ticket that the worker refuses is not used again
    Given a job of 1 tasks on the advised queue
    And the service has responded
    When the start on the second worker is refused for its ticket
    Then the next request names the second worker only

  Scenario: Advice is requested on other workers when the allowed workers are full
    Given a job of 1 tasks on the advised queue
    And the service has responded to a request that named the second worker only
    When the second worker has no free capacity
    Then the next request names 2 workers

  Scenario: No advice is requested when no worker is allowed, or for a queue that is not advised
    Given a job of 2 tasks on the advised queue
    And the service has responded and allows no worker
    Then no advice is requested
    Given a job of 2 tasks on the plain queue
    Then no advice is requested

  Scenario: The advice on a job is dropped when the job ends
    Given a job of 2 tasks on the advised queue
    And the service has responded
    When the job is cancelled on the advised queue
    Then no advice on its steps is kept
