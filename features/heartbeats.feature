Feature: Digests in heartbeats say exactly what the lists would say

  Scenario: An unchanged set is confirmed without lists
    Given an agent and an entry that know digests
    When the agent sends 3 heartbeats that hold "a/1 b/1"
    Then heartbeat 1 carries its list and heartbeats 2 and 3 carry digests
    And each reply renews "a/1 b/1"

  Scenario Outline: <change> makes the agent send its list
    Given an agent and an entry that know digests
    When the agent sends 2 heartbeats that hold "a/1 b/1"
    And the agent sends 1 heartbeats that hold "<held>"
    Then heartbeat 3 carries its list
    And the last reply renews "<renewed>"

    Examples:
      | change               | held        | renewed |
      | A new attempt        | a/1 b/1 c/1 | a/1 b/1 |
      | A missing attempt    | a/1         | a/1     |
      | Another attempt      | a/2 b/1     | b/1     |
      | The end of one       | a/1! b/1    | b/1     |
      | An epoch seen by one | a/1^ b/1    | a/1 b/1 |

  Scenario: An attempt that the owner does not renew is left out
    Given an agent and an entry that know digests
    When the agent sends 2 heartbeats that hold "a/1 b/1 c/1"
    Then heartbeat 2 carries a digest
    And the last reply lists "a/1 b/1"

  Scenario: The entry asks for a list that it does not know
    Given an agent and an entry that know digests
    When the agent sends 2 heartbeats that hold "a/1 b/1"
    And the entry forgets the list
    And the agent sends 2 heartbeats that hold "a/1 b/1"
    Then heartbeat 3 renews nothing and the entry's owner is not asked
    And heartbeat 4 carries its list
    And the last reply renews "a/1 b/1"

  Scenario: What was granted after a heartbeat is not renewed by its reply
    Given an agent and an entry that know digests
    When the agent sends 2 heartbeats that hold "a/1"
    Then a late reply to heartbeat 3 renews only "a/1" after the agent took "b/1"

  Scenario: A digest of another set renews nothing
    Given an agent and an entry that know digests
    When the agent sends 2 heartbeats that hold "a/1 b/1"
    Then a reply whose digest is of "a/1" renews nothing

  Scenario Outline: An <old> of the version before exchanges lists
    Given an agent and an entry of which the <old> knows no digests
    When the agent sends 3 heartbeats that hold "a/1 b/1"
    Then all heartbeats carry lists
    And each reply renews "a/1 b/1"

    Examples:
      | old   |
      | agent |
      | entry |

  Scenario: A running entry and an agent exchange digests
    Given a running entry, and an agent that holds an attempt of its shard
    When it sends a heartbeat with a digest that the entry does not know
    Then the reply renews nothing and asks for the list
    And a heartbeat with its list and then one with its digest are renewed
