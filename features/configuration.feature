Feature: Configuration of the operators at an entry

  Scenario: The metrics tell when and why the store was asked about the configuration
    Given a copy of the configuration that follows the store
    When the operators change the configuration
    Then the copy has the change within 1.0 seconds
    And the metrics count a read at the start and a watch with a change
    And the copy was confirmed within the last 2.0 seconds
    When the store is down for 1.5 seconds
    Then the metrics count failed calls
    And the copy was not confirmed within the last 1.0 seconds

  # A silent connection was noticed 3.5 s after the watch was sent, and each kept connection that the
  # next read took was silent as well, for 3 s each. Calls for an added queue were answered with 404
  # longer than the two seconds that a change may take.
  Scenario: A change is in force in time although the open connections to the store went silent
    Given a copy of the configuration that follows the store
    When 4 calls of this host leave their connections idle
    And all open connections to the store go silent just after a watch was sent
    And the operators change the configuration
    Then the copy has the change within 2.0 seconds

  # After one failed watch the copy read the configuration hundreds of times a second until the next
  # change, since it watched from the revision of the item, which the store had dropped.
  Scenario: A copy does not read in a loop once the store has dropped its history
    Given a copy of the configuration that follows the store
    When other keys are written and the store drops its history
    And one call of the copy fails
    Then the copy makes at most 12 calls in 2.0 seconds
    When the operators change the configuration
    Then the copy has the change within 1.0 seconds
