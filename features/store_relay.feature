Feature: Store calls through another entry

  # Guards against the loss of the ownership while the store refuses the owner's host only (incidents
  # inc-d41b and inc-dfa0).
  Scenario Outline: A commit reaches the store through another entry when this one is <fault>
    Given three entries of which the first is <fault> by the store
    When the first commits a key that is absent
    Then the commit takes effect through another entry

    Examples:
      | fault        |
      | refused      |
      | not answered |

  Scenario: A commit whose answer was lost is reported as a conflict with its own value
    Given three entries of which the first is served but not answered by the store
    When the first commits a key that is absent
    Then it receives a conflict that shows its own value

  Scenario: Nothing is written when the store refuses every entry
    Given three entries of which all are refused by the store
    When the first commits a key that is absent
    Then it learns that nothing was written

  Scenario: The outcome is unknown when this entry is not answered and the others are refused
    Given three entries of which the first is not answered and the others are refused by the store
    When the first commits a key that is absent
    Then it learns that the outcome is unknown

  Scenario: An entry that failed to relay a call is tried last
    Given three entries of which the first two are refused by the store
    When the first commits a key that is absent
    And the first commits a second key
    Then the second entry was called once

  Scenario: Reads and watches reach the store through another entry too
    Given three entries of which the first is refused by the store
    Then the first reads a key that another entry wrote
    And the first receives a change that another entry makes
    And the first learns that the history was dropped
