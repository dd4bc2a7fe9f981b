Feature: The settings tree in the store

  Scenario: Edits persist and are applied once through faults
    When three writers edit the settings tree through faults
    Then every accepted edit persists

  Scenario Outline: A bad edit is refused with the allowed values
    Given an empty settings tree
    When "<author>" sets "<key>" at "<path>" to <value>
    Then the edit is refused as "<code>" with "<words>"

    Examples:
      | author | path                          | key           | value          | code                  | words                        |
      | ann    | maison-reprise                | colour        | 1              | setting_unknown       | use one of grant_seconds     |
      | ann    | maison-reprise                | grant_seconds | "15"           | setting_invalid       | a number from 2 to 300       |
      | ann    | maison-reprise                | grant_seconds | 301            | setting_invalid       | a number from 2 to 300       |
      | ann    | maison-reprise                | grant_seconds | NaN            | setting_invalid       | a number from 2 to 300       |
      | ann    | maison-reprise                | grant_seconds | true           | setting_invalid       | a number from 2 to 300       |
      | ann    | maison-reprise                | entry_fanout  | 2.5            | setting_invalid       | a whole number from 1 to 16  |
      | ann    | maison-reprise                | log_level     | "loud"         | setting_invalid       | "debug", "info"              |
      | ann    | maison-reprise                | draining      | [1]            | setting_invalid       | a list of strings            |
      | ann    | maison-reprise                | team_quotas   | {"a": -1}      | setting_invalid       | numbers by name from 0       |
      | ann    | other-firm                    | entry_fanout  | 2              | settings_path_invalid | begin the path with          |
      | ann    | maison-reprise/a/b/c/d        | entry_fanout  | 2              | settings_path_invalid | firm/region/site/service     |
      | ann    | maison-reprise//gent          | entry_fanout  | 2              | settings_path_invalid | firm/region/site/service     |
      |        | maison-reprise                | entry_fanout  | 2              | invalid_input         | name who makes the change    |

  Scenario Outline: Values at a bound are accepted and refused above it
    Given an empty settings tree
    Then <bound> is accepted at its bound and refused above it

    Examples:
      | bound             |
      | the value size    |
      | the tree size     |
      | the path count    |
      | the edits a batch |
      | the author length |
      | the name length   |

  Scenario: The history and the remembered removals stay bounded
    Given an empty settings tree
    When more edits are applied than the history and the removals may hold
    Then the oldest are forgotten and stale edits of forgotten keys still conflict

  Scenario: A conflict names the newer value, its author, its revision and the remedy
    Given an empty settings tree
    When "ann" sets "entry_fanout" at "maison-reprise" to 4
    And "bob" sets "entry_fanout" at "maison-reprise" to 5
    Then the edit is refused as "settings_conflict" with "set to 4 by ann at revision 1"
    And the edit is refused as "settings_conflict" with "repeat the edit with if_revision 1"

  Scenario: An edit based on a revision that does not exist is refused
    Given an empty settings tree
    When an edit is based on revision 9
    Then the edit is refused as "settings_revision_invalid" with "above the newest revision 0"

  Scenario: A store that lost accepted revisions takes no edits
    Given an empty settings tree
    When a peer's snapshot of revision 7 is adopted
    And "ann" sets "entry_fanout" at "maison-reprise" to 4
    Then the edit is refused as "settings_store_behind" with "restore the journal"

  Scenario: The revision in force is the lowest that a reachable process confirmed
    Then confirmations follow the table and keep their bound
