Feature: Directory of entries in the store

  Scenario: Entries without a list of peers meet through the store
    Given two entries that share a store and know no addresses
    Then each is connected to the other
    And the store names both under their leases

  Scenario: An entry whose lease lapsed announces itself again
    Given two entries that share a store and know no addresses
    And each is connected to the other
    When the lease of the first entry is revoked at the store
    Then the store names both under their leases

  Scenario: An entry that stops leaves the directory
    Given two entries that share a store and know no addresses
    When the first entry stops
    Then the store names only the second

  Scenario: An entry that cannot be reached does not confirm a settings revision
    Given two entries that share a store and know no addresses
    And each is connected to the other
    When the first entry stops
    Then the second reports the first as unreachable

  Scenario: Entries introduce peers and agents to each other
    Given three entries of which the second and third know only the first
    And an agent at the first entry
    Then the second and third entry are connected to each other
    And the agent is told of all three
