Feature: Bounds and rules of a shard

  Scenario Outline: At its bound of <bound> the shard <effect>
    When a shard is filled to its bound of <bound>
    Then it <effect>

    Examples:
      | bound             | effect                                         |
      | jobs              | refuses a job with "shard_full"                |
      | tasks             | refuses a job with "shard_full"                |
      | pending events    | refuses a job with "queue_full"                |
      | finished jobs     | forgets the oldest finished job and its key    |
      | events per commit | commits the rest in the next entry             |
      | snapshot          | fits its largest state in 900 KiB              |
      | entry             | fits its largest entry in 256 KiB              |
      | buckets           | starts no further bucket                       |
      | task failures     | gives the task up and reports the job "failed" |
      | classes           | forgets the class reported longest ago         |

  Scenario Outline: A job with <field> "<value>" is refused
    When a job with "<field>" set to "<value>" is checked
    Then the check names "<problem>"

    Examples:
      | field       | value | problem                |
      | team        |       | team is missing        |
      | team        | x*65  | at most 64 bytes       |
      | tasks       | 801   | tasks is 801           |
      | tasks       | 1.5   | not a whole number     |
      | cores       | nan   | not a number           |
      | priority    | high  | priority is 'high'     |
      | accelerator | 1     | unknown job field      |

  Scenario: Urgent work goes first, quotas hold, and placement spreads a job
    Given a shard with two workers in each of three availability zones
    When a normal job, an urgent job and one of a team over its quota wait
    Then the urgent job starts first and the quota is kept
    And a job of 3 tasks is spread over three availability zones

  Scenario: A newer incarnation ends its tasks at once but not its buckets
    Given a shard with a task and a bucket on one worker
    When a newer incarnation of the worker says hello with no attempts
    Then the task waits again and the bucket is asked to stop
    When the earlier incarnation is heard late
    Then the new attempt of the task is still running

  Scenario: An estimate replaces a declaration that is far off, and only then
    When five reports show 4 cores where 1 is declared and 1.04 where 1 is declared
    Then the sizes to place by are 4.2 and 1 cores
