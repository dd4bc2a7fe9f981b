Feature: Store calls through another entry

  # Incident inc-d41b and inc-dfa0: the store turned the owner away and served the others.
  Scenario Outline: A commit reaches the store through another entry when this one is <fault>
    Given three entries of which the store leaves the first <fault>
    When the first commits a key that is absent
    Then the commit is done and another entry made it

    Examples:
      | fault       |
      | turned away |
      | unanswered  |

  Scenario: A commit whose own answer was lost is found done, not lost
    Given three entries of which the store leaves the first done but unanswered
    When the first commits a key that is absent
    Then it is told of a conflict that shows its own value

  Scenario: Nothing is written when the store turns every entry away
    Given three entries of which the store leaves all turned away
    When the first commits a key that is absent
    Then it is told that nothing was written

  Scenario: The outcome is unknown when this entry had no answer and the others are turned away
    Given three entries of which the store leaves the first unanswered and the others turned away
    When the first commits a key that is absent
    Then it is told that the outcome is not known

  Scenario: An entry that could not help is asked last
    Given three entries of which the store leaves the first two turned away
    When the first commits a key that is absent
    And the first commits a second key
    Then the second entry was asked once

  Scenario: Reads and watches reach the store through another entry too
    Given three entries of which the store leaves the first turned away
    Then the first reads a key that another entry wrote
    And the first is told of a change that another entry makes
    And the first is told that the history was dropped
