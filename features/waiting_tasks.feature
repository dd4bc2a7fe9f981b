Feature: The log tells why a task waits

  Scenario Outline: A waiting task is recorded with the workers that <rule>
    Given two workers of 4 cores that <rule>
    When a task that lasts and takes 4 cores waits for 3 seconds
    Then it is recorded once that both are passed over as "<name>"
    And the last check counted <excluded> excluded workers

    Examples:
      | rule                         | name              | excluded |
      | are draining                 | draining          | 2        |
      | are not connected            | agent unreachable | 2        |
      | are in a drained zone        | starts withheld   | 2        |
      | are full                     | no capacity       | 0        |
      | have a run that does not end | no capacity       | 0        |

  Scenario: A task that a former owner may have started is recorded with the silent agents
    Given a new owner to which 1 of 2 agents has not reported
    When a task that lasts and may have been started waits for 3 seconds
    Then it is recorded that 1 agent has not reported

  Scenario: What is recorded of many waiting tasks is bounded
    Given two workers of 4 cores that are draining
    When 40 jobs of 30 tasks wait for 10 seconds
    Then at most 20 lines are recorded, none of them longer than 600 characters
