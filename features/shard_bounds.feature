Feature: Bounds and scheduling rules of a shard

  Scenario Outline: At its bound of <bound> the shard <effect>
    When a shard is filled to its bound of <bound>
    Then it <effect>

    Examples:
      | bound             | effect                                            |
      | jobs              | refuses a job with "shard_full"                   |
      | tasks             | refuses a job with "shard_full"                   |
      | pending events    | refuses a job with "queue_full"                   |
      | finished jobs     | drops the oldest finished job and its key         |
      | events per commit | commits the remaining events in the next entry    |
      | snapshot          | fits its largest state in 900 KiB                 |
      | entry             | fits its largest entry in 256 KiB                 |
      | buckets           | starts no further bucket                          |
      | task failures     | gives up the task and reports the job as "failed" |
      | classes           | drops the class reported longest ago              |

  Scenario Outline: A job with <field> "<value>" is refused
    When a job with "<field>" set to "<value>" is validated
    Then the error says "<problem>"

    Examples:
      | field       | value | problem            |
      | team        |       | team is missing    |
      | team        | x*65  | at most 64 bytes   |
      | tasks       | 801   | tasks is 801       |
      | tasks       | 1.5   | not a whole number |
      | cores       | nan   | not a number       |
      | priority    | high  | priority is 'high' |
      | accelerator | 1     | unknown job field  |

  Scenario: Urgent jobs start first, quotas are kept, and the tasks of a job are spread
    Given a shard with two workers in each of three availability zones
    When a normal job, an urgent job and a job over the quota of its team wait
    Then the urgent job starts first and the quota is kept
    And the normal job of 3 tasks is spread over three availability zones

  Scenario: A newer incarnation of a worker ends its tasks at once, but not its buckets
    Given a shard with a task and a bucket on one worker
    When a newer incarnation of the worker sends a hello without attempts
    Then the task waits again and the stop of the bucket is requested
    When a late hello of the earlier incarnation arrives
    Then the new attempt of the task is still running

  Scenario: An estimate replaces only a declaration that is far off
    When five reports show the use of 4 cores where 1 is declared and of 1.04 where 1 is declared
    Then the estimated sizes are 4.2 and 1 cores
