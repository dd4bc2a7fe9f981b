Feature: Routing decisions

  Scenario Outline: The <machine> holds its limits under any sequence of events
    When the state machine of the "<machine>" runs with seed <seed>
    Then no step broke a limit

    Examples:
      | machine       | seed |
      | retry budget  | 1    |
      | target health | 2    |
      | bucket homes  | 3    |

  Scenario Outline: A retry after <outcome> (<note>)
    Then after <outcome> with "<reason>" a request that is <kind> and <origin> may be retried after <attempts> attempts: <allowed>

    Examples:
      | outcome | reason             | kind           | origin    | attempts | allowed | note                     |
      | not_run | no_slot            | non-idempotent | direct    | 1        | yes     | nothing has run          |
      | not_run | recovering         | idempotent     | direct    | 2        | yes     | below the limit          |
      | not_run | no_slot            | idempotent     | direct    | 3        | no      | limit of attempts        |
      | unknown | timed_out          | non-idempotent | direct    | 1        | no      | may have run             |
      | unknown | connection_lost    | idempotent     | direct    | 1        | yes     | may run twice            |
      | not_run | no_slot            | idempotent     | forwarded | 1        | no      | the first entry decides  |
      | unknown | connection_lost    | idempotent     | forwarded | 1        | no      | the first entry decides  |
      | not_run | body_too_large     | idempotent     | direct    | 1        | no      | no target takes it       |
      | not_run | deadline_too_short | idempotent     | direct    | 1        | no      | no time is left          |

  Scenario Outline: The chooser prefers <expected>
    Given targets "<targets>" as name:zone:slots:in_flight
    Then an entry in gent chooses only "<expected>"

    Examples:
      | targets                             | expected |
      | a:gent:8:1 b:namur:8:0              | a        |
      | a:gent:8:8 b:namur:8:7              | b        |
      | a:gent:8:3 b:gent:8:2               | b        |
      | a:gent:8:9 b:namur:8:8              | b        |
      | a:gent:4:2 b:gent:16:6              | b        |

  Scenario: The less loaded of two random targets keeps the highest load lower than one random target
    Then 4000 requests on 40 targets end with a lower maximum for two random targets than for one

  Scenario Outline: A deadline with <remaining> ms remaining and lowest latency <lowest> ms
    Then a deadline in <remaining> ms with lowest latency "<lowest>" is too short: <too_short>

    Examples:
      | remaining | lowest | too_short |
      | 0         | none   | yes       |
      | 2         | none   | yes       |
      | 3         | none   | no        |
      | 40        | 100    | yes       |
      | 60        | 100    | no        |

  Scenario: The timeout of a keyed request is limited
    Then a keyed request with 60000 ms has 15000 ms and one without a key has 60000 ms

  # Guards against a target that returns without a probe, by an answer from before its ejection.
  Scenario: A late answer does not restore an ejected target before its probe
    Given a service with 4 targets of which "slow" was ejected
    When a late fast answer of "slow" arrives
    Then "slow" stays ejected
    When the pause is over and the probe of "slow" is answered fast
    Then "slow" is available

  Scenario: A target that leaves restores no ejected target while the share allows the ejections
    Given a service with 10 targets of which "slow" was ejected
    When a second target is ejected and a healthy one leaves
    Then "slow" stays ejected

  Scenario: The entry and the agent agree on the bucket of every key
    Then 1000 keys have the same bucket in routing and in the host

  Scenario Outline: The table of <table> is bounded
    Then the table of "<table>" stops growing at its limit

    Examples:
      | table    |
      | services |
      | targets  |
      | buckets  |
      | agents   |
      | peers    |
