Feature: Owner service

  Background:
    Given a store and the owner service of entry "a" with 2 shards

  Scenario: A job is committed, started, reported and answered
    Given a connected agent "w1" with 8 cores
    When a job of 2 tasks is submitted with key "k"
    Then the agent is granted 2 attempts
    When the agent reports each attempt as completed
    Then the job is "completed"
    When the same submission is sent again
    Then it is answered with the same job

  Scenario: A submission in a store outage is refused as not run
    When the store is unavailable
    Then a submission is refused with "store_unavailable" and outcome "not_run"
    When the store is available again
    Then a submission is accepted

  Scenario: A submission whose commit answer was lost ends as unknown and its key finds the job
    When the next answers of the store are lost until the deadline of a submission with key "k"
    Then the submission ended with outcome "unknown"
    When the store is available again
    Then the same submission is accepted and there is one job

  Scenario: A stopped entry releases its shards and the next entry serves them
    When a job of 1 tasks is submitted with key "k"
    And the service stops and entry "b" starts
    Then entry "b" owns both shards and knows the job

  Scenario Outline: A job of <cores> cores that fits no worker is reported at once and blocks nothing
    Given a connected agent "w1" with 8 cores
    When a job that needs <cores> cores is submitted
    Then its answer has the reason "never_fits"
    When a job of 1 tasks is submitted with key "small"
    Then the agent is granted 1 attempts

    Examples: more than a worker has, and more than its headroom of a tenth leaves
      | cores |
      | 64    |
      | 7.5   |

  Scenario: Buckets move one at a time to an agent that joins
    Given a connected agent "w1" with 8 cores
    And a connected agent "w2" with 8 cores
    Then each agent holds 16 buckets of its service within 5 s
    When agent "w3" joins
    Then each agent holds at least 10 buckets within 20 s
    And each moved bucket had ended at its former home before, and was without one for under 1 s
    And no shard had more than one bucket of the service without a home

  Scenario: Buckets of a service are spread over its agents and a cancelled job is stopped
    Given a connected agent "w1" with 8 cores
    And a connected agent "w2" with 8 cores
    Then each agent holds 16 buckets of its service within 5 s
    When a job of 1 tasks is submitted with key "c"
    And the running job is cancelled
    Then an agent is asked to stop its attempt

  Scenario: The number of grants that one shard sends at once is bounded
    Given an agent "w1" with 8 cores that keeps 2 grants of a shard waiting
    When a job of 3 tasks is submitted with key "s"
    Then 2 grants wait, and the third follows when they are answered

  Scenario Outline: A checkpoint of <length> bytes is <result>
    Given a connected agent "w1" with 8 cores
    When a job of 1 tasks is submitted with key "c"
    And its attempt ends as evicted with a checkpoint of <length> bytes
    Then the next attempt is granted with a checkpoint of <kept> bytes

    Examples:
      | length | kept | result    |
      | 200    | 200  | passed on |
      | 201    | 0    | left out  |
