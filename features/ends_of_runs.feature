Feature: More ends of runs than a worker lists at once

  # While the store was down no end could be acknowledged, and the worker listed the first 500 only. Runs
  # whose ends were not listed were taken for missing, and their tasks ran again although they were done.
  Scenario: Runs whose ends are not listed yet do not count as lost
    Given a worker of 100 cores that lists at most 5 ends
    And a job of 20 tasks is running there
    When all of them are done while nothing can be stored for 6.0 seconds
    Then each of its 20 tasks has started once
    When the store is back
    Then each of its 20 tasks has started once
    And all ends are acknowledged and the job is complete

  Scenario: A run that is stopped while its end is not listed yet does not count as stopped before it began
    Given a worker of 100 cores that lists at most 5 ends
    And a job of 20 tasks is running there
    When all of them are done and stopped while nothing can be stored for 6.0 seconds
    And the store is back
    Then each of its 20 tasks has started once
    And all ends are acknowledged and the job is complete

  # A new owner took the first list of ends for all that its predecessor had started there.
  Scenario: A new owner waits for all ends of a worker before it starts what may have run there
    Given a worker of 100 cores that lists at most 5 ends
    And a job of 20 tasks that a former owner ran there and that are done
    When a new owner takes over while nothing can be stored for 6.0 seconds
    Then none of its tasks has started
    When the store is back
    Then none of its tasks has started
    And all ends are acknowledged and the job is complete

  Scenario Outline: A list of <count> ends <may> be incomplete
    Given a worker whose poll lists <count> ends
    Then the result of the poll <tells> that more may follow

    Examples:
      | count | may     | tells         |
      | 499   | can not | does not tell |
      | 500   | may     | tells         |
