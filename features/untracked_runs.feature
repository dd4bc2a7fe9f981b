Feature: Runs that the owner did not start or no longer tracks

  # A run that was being stopped without being tracked did not keep its task from starting elsewhere.
  Scenario Outline: A task does not start while <what> is at work
    Given workers of 5 and 16 cores that ignore stops
    And worker 1 has <what>
    When 3 seconds pass
    Then no task has two runs
    When worker 1 takes stops again and 3 seconds pass
    Then each task runs once

    Examples:
      | what                                            |
      | a run of a task that waits                      |
      | a run of one member of a gang that waits        |
      | a run of a scheduled job that is not yet due    |
      | the second of two runs, while the first is lost |

  # An owner of the former version gave numbers again, so the end of one run looked like that of another.
  Scenario: A new owner does not stop a run whose number is stored as ended
    Given a stored job whose run 1 is stored as ended and is at work on worker 1
    When a new owner takes over and 3 seconds pass
    Then the run goes on and nothing else starts

  # The worker of a run that is being stopped may never be reached again.
  Scenario: A task starts elsewhere once the grant of the agent with the other run is over
    Given workers of 5 and 16 cores that ignore stops
    And worker 1 has the second of two runs, while the first is lost
    When worker 1 is cut off and 9 seconds pass
    Then its task runs on worker 2
