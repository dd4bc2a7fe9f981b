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
