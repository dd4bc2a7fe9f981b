Feature: Numbers of runs across changes of the owner

  # A run begins before its number is stored. The next owner gave the same number again, took the end of the
  # first run for that of its own, and its successor stopped the only run while it started another one.
  Scenario: The end of a run that a former owner did not store is not taken for that of a later run
    Given an owner that starts a task on worker 1 and is lost before it stores that
    And a second owner that waits for worker 1, which is cut off, and starts the task on worker 2
    When worker 1 reports that its run has lapsed, and a third owner follows
    Then the run on worker 2 goes on and nothing else starts

  # The second failure or crash had the number of the first one and was left out of the count.
  Scenario Outline: Two runs of two owners that <event> count twice
    Given an owner that starts a task on worker 1 and is lost before it stores that
    And a second owner that waits for worker 1, which is cut off, and starts the task on worker 2
    When both runs <event>, and a third owner hears of the second one only
    Then the task has 2 <entries>

    Examples:
      | event               | entries  |
      | fail                | failures |
      | crash their workers | crashes  |

  Scenario Outline: No run number is given twice by <owners> owners of which none stores its starts
    Given <owners> owners in a row, each of which starts a task and is lost before it stores that
    Then each start had a higher number than those before

    Examples:
      | owners |
      | 2      |
      | 5      |

  # The numbers of an owner must end before those of its successor begin, which follow from the store's revision.
  Scenario: An owner that stores nothing stops starting a task before it gives the numbers of its successor
    Given an owner whose starts are all refused while it stores nothing for 20 seconds
    When the next owner starts the task
    Then each start had a higher number than those before

  Scenario: The first run of a job that is accepted by the owner in charge has number 1
    Given an owner that starts a task on worker 1 and is lost before it stores that
    Then the first start had number 1
