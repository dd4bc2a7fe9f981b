Feature: Settings at the entries

  Scenario: An edit is seen at once on its entry and soon on another one
    Given two entries on one store
    When entry 1 sets "entry_fanout" to 5
    Then entry 1 sees 5 at once
    And entry 2 sees 5 soon and tells its listener once

  Scenario: A lost notification is covered by the next read
    Given two entries on one store
    And the watches of the store never notify
    When entry 1 sets "entry_fanout" to 5
    Then entry 2 sees 5 soon and tells its listener once

  Scenario: An entry that starts during an outage takes its peer's revision and reads later
    Given two entries on one store
    When entry 1 sets "entry_fanout" to 5
    And the store goes down
    And entry 2 restarts
    And entry 2 adopts the snapshot of entry 1
    Then entry 2 sees 5 soon and tells its listener once
    And entry 2 has failed to read the store
    And an edit at entry 2 is refused as "store_unavailable"
    When the store returns
    And entry 2 sets "entry_fanout" to 6
    Then entry 1 sees 6 soon and tells its listener once
    When entry 1 sets "entry_fanout" to 7
    Then entry 2 sees 7 soon and tells its listener once

  Scenario: Snapshots that are older, damaged or of another firm are not adopted
    Given two entries on one store
    When entry 1 sets "entry_fanout" to 5
    Then entry 1 adopts no snapshot that is older, damaged or foreign

  Scenario: Concurrent edits of one entry are all applied
    Given two entries on one store
    And other greenlets run during each call to the store
    When 20 edits of different sites arrive at each entry at once
    Then both entries come to revision 40

  Scenario: The edits in progress at one entry are bounded
    Given two entries on one store
    And other greenlets run during each call to the store
    When one edit more than may be in progress arrives at entry 1
    Then exactly that one is refused as "settings_busy"

  Scenario: A listener that fails does not stop the others
    Given two entries on one store
    And entry 1 has a listener that fails
    When entry 1 sets "entry_fanout" to 5
    Then entry 1 sees 5 at once

  Scenario: The cache of effective values is bounded
    Given two entries on one store
    Then reading more paths than the cache holds keeps it at its bound

  Scenario Outline: The settings resources answer as documented
    Given two entries on one store
    And entry 1 serves its settings
    When "<method>" "<path>" is called with <body>
    Then the answer has status <status> and <part>

    Examples:
      | method | path                                                        | body                                             | status | part                           |
      | GET    | /v1/settings                                                | -                                                | 200    | "in_force": 0                  |
      | PUT    | /v1/settings/blue-mahoe/kingston/headroom                   | {"value": 0.3, "if_revision": 0, "author": "a"}  | 200    | "revision": 1                  |
      | PUT    | /v1/settings/blue-mahoe/headroom                            | {"value": 3, "if_revision": 0, "author": "a"}    | 400    | "code": "setting_invalid"      |
      | PUT    | /v1/settings/blue-mahoe/headroom                            | {"value": null, "if_revision": 0, "author": "a"} | 400    | send DELETE                    |
      | PUT    | /v1/settings/blue-mahoe/headroom                            | {"value": 0.1, "author": "a"}                    | 400    | missing or unknown fields      |
      | PUT    | /v1/settings/blue-mahoe/headroom                            | {                                                | 400    | not JSON                       |
      | PUT    | /v1/settings/headroom                                       | {"value": 0.1, "if_revision": 0, "author": "a"}  | 400    | does not name a path and a key |
      | GET    | /v1/settings/blue-mahoe/headroom                            | -                                                | 200    | "level": "default"             |
      | GET    | /v1/settings/blue-mahoe/colour                              | -                                                | 400    | "code": "setting_unknown"      |
      | DELETE | /v1/settings/blue-mahoe/headroom?if_revision=0&author=a     | -                                                | 200    | "revision": 1                  |
      | DELETE | /v1/settings/blue-mahoe/headroom?author=a                   | -                                                | 400    | if_revision                    |
      | GET    | /v1/settings-history                                        | -                                                | 200    | "history": []                  |
      | POST   | /v1/settings                                                | {"edits": [{"path": "blue-mahoe", "key": "headroom", "value": 0.3}], "if_revision": 0, "author": "a"} | 200 | "revision": 1 |
      | POST   | /v1/settings                                                | {"edits": [{"path": "blue-mahoe"}], "if_revision": 0, "author": "a"} | 400 | an edit has missing |
      | POST   | /v1/settings                                                | {"edits": 1, "if_revision": 0, "author": "a"}    | 400    | edits is not a list            |
