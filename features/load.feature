Feature: Load generator

  Scenario: The same options give the same plan, and the rate doubles when stated
    Then a plan of 100/s for 20 s with rain at 10 s doubles its arrivals
    And the same seed gives the same plan and another seed another one

  Scenario Outline: A run out of bounds is refused
    Then a run with rate <rate> and <seconds> s at "<url>" is refused with "<problem>"

    Examples:
      | rate  | seconds | url                    | problem            |
      | 10    | 601     | http://127.0.0.1:1     | is out of range    |
      | 10    | 0       | http://127.0.0.1:1     | is out of range    |
      | 0     | 10      | http://127.0.0.1:1     | is out of range    |
      | 50001 | 10      | http://127.0.0.1:1     | is out of range    |
      | 10    | 1       | http://192.0.2.1:80    | is not on loopback |
      | 10    | 1       | http://example.org:80  | is not on loopback |

  Scenario Outline: The audit finds <problem>
    Then a result "<outcome>" of a request that is <kind> and ran <times> times is reported: <found>

    Examples:
      | outcome  | kind           | times | found | problem                      |
      | not_run  | idempotent     | 1     | yes   | a refused request that ran   |
      | not_run  | idempotent     | 0     | no    | nothing                      |
      | answered | idempotent     | 0     | yes   | an answer without execution  |
      | answered | idempotent     | 2     | no    | nothing                      |
      | answered | non-idempotent | 2     | yes   | a repeated request           |
      | unknown  | non-idempotent | 2     | yes   | a repeated request           |
      | unknown  | non-idempotent | 1     | no    | nothing                      |

  Scenario: Arrivals beyond the bound of the generator are counted
    Given an entry whose store is down
    And an agent "a" that "never answers"
    When the generator may have 2 requests in flight and sends 20
    Then the surplus is reported as not sent

  Scenario: Calls on a kept connection to a stand-in do not wait for delayed acknowledgements
    Then the median of 20 calls to a target stand-in is below 30 ms
