Feature: Contracts of the platform's interfaces

  Scenario Outline: The <store> store keeps its contract: <rule>
    Given a transactional store of kind "<store>"
    Then rule "<rule>" holds

    Examples:
      | store  | rule                          |
      | memory | absent key has revision 0     |
      | http   | absent key has revision 0     |
      | memory | commit is all or nothing      |
      | http   | commit is all or nothing      |
      | memory | conflict shows current items  |
      | http   | conflict shows current items  |
      | memory | list is by prefix             |
      | http   | list is by prefix             |
      | memory | watch tells what changed      |
      | http   | watch tells what changed      |
      | memory | watch without history fails   |
      | http   | watch without history fails   |
      | memory | removal is told               |
      | http   | removal is told               |
      | http   | list crosses pages            |
      | http   | turned away is not done       |
      | http   | lost answer is unknown        |
      | memory | lost answer is unknown        |

  Scenario Outline: A submission with <fault> is refused and names no job
    When a submission with <fault> is decoded
    Then it is refused as invalid input

    Examples:
      | fault                     |
      | bytes that are not JSON   |
      | no steps                  |
      | a step of no tasks        |
      | a step after a later step |
      | a step after itself       |
      | a payload that is too long |
      | too many tasks            |
      | steps that are a number   |

  Scenario: A submission is decoded into the product's types
    When the submission of the protocol page is decoded
    Then its sizes, dependencies and flags are those of the page

  Scenario Outline: An announcement with <fault> names no worker
    When an announcement with <fault> is decoded
    Then it is refused as invalid input

    Examples:
      | fault                    |
      | bytes that are not JSON  |
      | no capacity              |
      | an unknown state         |
      | a sequence of text       |
      | cores that are a boolean |
      | labels of numbers        |

  Scenario: A configuration is decoded, and the longest prefix selects the queue
    When a configuration with two nested prefixes is decoded
    Then a path below both selects the longer one
    And a path of another host selects none

  Scenario: An older configuration never replaces a newer one
    Given an entry that uses configuration version 7
    When it is offered versions 4, 7 and 9
    Then it uses version 9 and adopted one
