Feature: From a caller's request to its answer

  Background:
    Given an entry whose store is down

  Scenario Outline: Agent behaviour "<behaviour>" reaches the caller as <status> <code>
    Given an agent "a" that "<behaviour>"
    When a non-idempotent request is sent with a timeout of 300 ms
    Then the answer is <status> with code "<code>" and outcome "<outcome>"
    And the counter of "<code>" is 1
    And the next request gets its own answer

    Examples: the request may have run
      | behaviour                  | status | code             | outcome |
      | answers too late           | 504    | timed_out        | unknown |
      | never answers              | 504    | timed_out        | unknown |
      | answers another request    | 502    | target_broke_off | unknown |
      | answers without status     | 502    | target_broke_off | unknown |
      | answers with a bad outcome | 504    | odd              | unknown |
      | answers with a heartbeat   | 502    | target_broke_off | unknown |
      | answers a bad status       | 502    | target_broke_off | unknown |

  Scenario Outline: The connection ends while the agent "<behaviour>"
    Given an agent "a" that "<behaviour>"
    When a non-idempotent request is sent with a timeout of 2000 ms
    Then the answer is 502 with code "connection_lost" and outcome "unknown"
    And agent "a" is not a member

    Examples:
      | behaviour              |
      | closes the connection  |
      | truncates its answer   |
      | answers with rubbish   |

  Scenario Outline: A refusal with <reason> is passed on as not run
    Given an agent "a" that "refuses with <reason>"
    When a non-idempotent request is sent with a timeout of 300 ms
    Then the answer is <status> with code "<reason>" and outcome "not_run"
    And the counter of "<reason>" is 1
    And the answer has Retry-After
    And agent "a" executed 0 requests

    Examples:
      | reason             | status |
      | no_slot            | 429    |
      | no_connection      | 429    |
      | draining           | 503    |
      | recovering         | 503    |
      | target_down        | 503    |
      | unknown_service    | 503    |
      | deadline_too_short | 503    |
      | deadline_passed    | 503    |
      | bucket_not_held    | 503    |
      | body_too_large     | 503    |
      | ledger_full        | 503    |

  Scenario Outline: An unknown outcome with <reason> is passed on
    Given an agent "a" that "does not know: <reason>"
    When a non-idempotent request is sent with a timeout of 300 ms
    Then the answer is <status> with code "<reason>" and outcome "unknown"

    Examples:
      | reason           | status |
      | timed_out        | 504    |
      | key_forgotten    | 504    |
      | home_moved       | 504    |
      | target_broke_off | 502    |

  Scenario: Answers in the reverse order reach their own callers
    Given an agent "a" that "answers in reverse"
    When 12 callers send a request at once
    Then each caller has the answer to its own request

  Scenario: A duplicated answer is delivered once and leaves the next request alone
    Given an agent "a" that "answers twice"
    When one caller sends 12 requests in turn
    Then each caller has the answer to its own request

  Scenario: An old answer on a new connection is not taken for the next one
    Given an agent "a" that "closes the connection"
    When a non-idempotent request is sent with a timeout of 2000 ms
    And agent "a" connects again and repeats its old answer for the next request
    And a non-idempotent request is sent with a timeout of 300 ms
    Then the answer is 502 with code "target_broke_off" and outcome "unknown"

  Scenario: A refusal for lack of a slot is retried elsewhere within the budget
    Given an agent "a" that "refuses with no_slot"
    And an agent "b" that "answers"
    When 20 non-idempotent requests are sent
    Then some requests were retried with "no_slot" and the agents received at most 24
    And no request ran twice and every refused request ran 0 times

  Scenario Outline: An agent that refuses with <reason> gets no more requests until its heartbeat
    Given an agent "a" that "refuses with <reason>"
    And an agent "b" that "answers"
    When 20 non-idempotent requests are sent
    Then agent "a" received at most 2 of them

    Examples:
      | reason      |
      | target_down |
      | recovering  |
      | draining    |

  Scenario: A non-idempotent request is not sent again when the connection is lost
    Given an agent "a" that "runs and closes the connection"
    And an agent "b" that "answers"
    When 20 non-idempotent requests are sent
    Then no request ran twice and every refused request ran 0 times

  Scenario: An idempotent request is sent again when the connection is lost
    Given 10 requests were answered by an agent "b"
    And an agent "a" in the same zone with more room that "closes the connection"
    When an idempotent request is sent
    Then the answer is 200 from "b"

  Scenario: A refusal after an unknown outcome stays unknown
    Given 10 requests were answered by an agent "b"
    And agent "b" now "refuses with no_slot"
    And an agent "a" in the same zone with more room that "runs and closes the connection"
    When an idempotent request is sent
    Then the answer is 502 with code "connection_lost" and outcome "unknown"

  Scenario: The table of requests in progress is bounded
    Given an agent "a" that "answers when released"
    And the entry takes 2 requests at once
    When 3 callers send a request at once
    Then one of them is refused with "queue_full" and the others are answered

  Scenario: A caller that goes away does not stop its request or hold its place
    Given an agent "a" that "answers when released"
    When a caller sends a request and goes away
    Then agent "a" executes 1 request and nothing is left in progress

  Scenario: The request of a caller that has gone away is not retried
    Given an agent "a" that "refuses with no_slot when released"
    And an agent "b" that "refuses with no_slot when released"
    When a caller sends a request and goes away before agents "a" and "b" answer
    Then one agent received the request, nothing is left in progress and it is counted

  Scenario: Requests that an agent does not read have a certain outcome as far as possible
    Given an agent "a" that "answers"
    When agent "a" reads no more and 40 large requests are sent
    Then each ends, those that never left as not run and the others as unknown

  Scenario Outline: The number of <what> is bounded
    Given an agent "a" that "answers when released"
    And a second entry that knows the first
    When the limit of "<what>" is 1 and <count> requests are sent to the <entry> entry
    Then <refused> of them are refused with "<code>" as not run

    Examples:
      | what                       | count | entry  | refused | code          |
      | requests to one agent      | 3     | first  | 2       | no_target     |
      | calls to one peer          | 3     | second | 2       | forward_limit |

  Scenario: A caller that sends its headers slowly is disconnected
    When a caller sends its headers slowly
    Then it is disconnected and nothing ran

  Scenario: A draining agent gets no new request
    Given an agent "a" that "answers"
    And an agent "b" that "answers"
    When agent "a" sends Drain
    And 20 non-idempotent requests are sent
    Then agent "a" executed 0 requests

  Scenario: An agent that the settings tree drains gets no new request
    Given an agent "a" that "answers"
    And an agent "b" that "answers"
    When the settings tree drains "a" with revision 4
    And 20 non-idempotent requests are sent
    Then agent "a" executed 0 requests
    And agents "a" and "b" received the settings of revision 4

  Scenario Outline: An agent of protocol version <version> is served
    Given an agent "a" whose frames say version <version>
    When agent "a" sends a heartbeat
    Then the reply states the owner's grant length
    When a non-idempotent request is sent with a timeout of 5000 ms
    Then the answer is 200 from "a"

    Examples:
      | version |
      | 0       |
      | 2       |

  Scenario Outline: An agent of protocol version <version> is refused
    When an agent "a" whose frames say version <version> dials
    Then no agent is a member
    And the refused version was counted once and logged with "upgrade one version at a time"

    Examples:
      | version |
      | -1      |
      | 3       |

  Scenario: A heartbeat reply states the length of the owner's grants
    Given an agent "a" that "answers"
    When agent "a" sends a heartbeat
    Then the reply states the owner's grant length

  Scenario: An agent of another site gets the settings of its own site
    Given the settings of site "maison-reprise/flanders/namur" have the grant length 42
    And an agent "a" of site "maison-reprise/flanders/namur"
    Then agent "a" is welcomed with the grant length 42

  Scenario: The log level of the settings tree takes hold on a running entry
    When the settings tree sets the log level "debug" with revision 4
    Then the process logs at level "debug"
    When the settings tree sets the log level "" with revision 5
    Then the process logs at level "info"

  Scenario: An agent that misses three heartbeats is removed
    Given an agent "a" that "answers"
    When agent "a" falls silent
    Then agent "a" is not a member

  Scenario: A heartbeat of an ended session renews nothing
    Given an agent "a" that "answers"
    When agent "a" connects a second time and its first connection sends a heartbeat
    Then the heartbeat is not answered and "a" is a member once

  Scenario Outline: A keyed request goes to the home of its bucket only
    Given agents "a" and "b" of which "<home>" has the higher attempt of all buckets
    When 10 requests with different keys are sent
    Then only "<home>" executed them

    Examples:
      | home |
      | a    |
      | b    |

  Scenario: A keyed request without a known home is refused
    Given an agent "a" that "answers"
    When a request with key "order-1" is sent
    Then the answer is 503 with code "bucket_not_held" and outcome "not_run"

  Scenario: A request without a target is refused
    When a non-idempotent request is sent with a timeout of 300 ms
    Then the answer is 503 with code "no_target" and outcome "not_run"

  Scenario Outline: A request that is <what> is refused before it runs
    Given an agent "a" that "answers"
    When a request that is "<what>" is sent
    Then the answer is <status> with code "<code>" and outcome "not_run"
    And the error "<code>" was counted once
    And agent "a" executed 0 requests

    Examples:
      | what                       | status | code               |
      | too large                  | 413    | body_too_large     |
      | too large without a length | 413    | body_too_large     |
      | too slow                   | 408    | slow_caller        |
      | short of time              | 503    | deadline_too_short |
      | keyed without attempt      | 400    | invalid_input      |
      | with a bad timeout         | 400    | invalid_input      |
      | with a bad flag            | 400    | invalid_input      |
      | with a long key            | 400    | invalid_input      |

  Scenario Outline: The body of a settings edit that is <what> is refused like that of a request
    When a settings edit that is "<what>" is sent
    Then the answer is <status> with code "<code>" and outcome "not_run"

    Examples:
      | what                       | status | code           |
      | too large                  | 413    | body_too_large |
      | too large without a length | 413    | body_too_large |
      | too slow                   | 408    | slow_caller    |

  Scenario: A request whose body ends early never runs
    Given an agent "a" that "answers"
    When a caller sends half of its body and goes away
    Then nothing is left in progress and agent "a" executed 0 requests

  Scenario: A stop interrupts no request
    Given an agent "a" that "answers when released"
    When a request is in progress and the entry is asked to stop
    Then /readyz fails, the request is answered and new connections are refused

  Scenario: An entry without targets forwards once
    Given an agent "a" that "answers"
    And a second entry that knows the first
    When a request is sent to the second entry
    Then the answer is 200 from "a"

  Scenario: Two entries that take each other for the one with a target do not forward in a circle
    Given a second entry that knows the first
    When each entry believes that the other has a target and a request is sent to the second
    Then the answer is 503 with code "forward_limit" and outcome "not_run"
    And each entry refused it once

  Scenario: A request that every target here refused is forwarded within the budget
    Given an agent "a" that "answers"
    And a second entry that knows the first
    And an agent "b" of the second entry that "refuses with no_slot"
    When 10 requests are sent to the second entry
    Then 2 of them are answered by "a" and the others are refused with "no_slot"

  Scenario: A forwarded request is neither forwarded nor retried again
    Given an agent "a" that "refuses with no_slot"
    And an agent "b" that "refuses with no_slot"
    And a second entry that knows the first
    When a request is sent to the second entry
    Then the answer is 429 with code "no_slot" and outcome "not_run"
    And the agents received 1 request in all

  Scenario: A keyed request is forwarded to the entry that knows the home
    Given agents "a" and "b" of which "a" has the higher attempt of all buckets
    And a second entry that knows the first
    When a request with key "order-1" is sent to the second entry
    Then the answer is 200 from "a"

  Scenario: A job is answered by the entry that owns its shard
    Given a second entry that knows the first
    And the first entry owns shard 3
    When job "j3-abc" is queried at the second entry
    Then the job's state comes from the first entry
    And job "j2-abc" is refused with "no_owner"

  Scenario: An entry takes the settings of a peer while the store is down
    Given a second entry that knows the first
    When the settings of the first entry change to revision 9
    Then the second entry has revision 9
