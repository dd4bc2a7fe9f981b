Feature: Bounds of the host

  Scenario Outline: The bound "<bound>" holds and the next one is refused
    Given a host at the bound "<bound>"
    When one more is offered
    Then the host answers "<refusal>"

    Examples:
      | bound               | refusal     |
      | kept heartbeats     | stale_grant |
      | held attempts       | ledger_full |
      | stopped numbers     | ledger_full |
      | stops remembered    | ledger_full |
      | shards              | stale_epoch |
      | recorded bytes      | ledger_full |
      | entries known       | 256         |

  Scenario Outline: A key without a record and attempt number <number> is <result>
    Given a bucket held for <held> s, a key first sent <age> s ago and a window of 600 s
    When the key comes with attempt number <number>
    Then the key is decided as <result>

    Examples:
      | number | held | age     | result        |
      | 1      | 0    | unknown | run           |
      | 2      | 100  | unknown | home_moved    |
      | 2      | 600  | unknown | key_forgotten |
      | 2      | 25   | 10      | home_moved    |
      | 2      | 26   | 10      | run           |
      | 2      | 9000 | 585     | key_forgotten |
      | 2      | 9000 | 584     | run           |

  Scenario: A task whose lease ended early is resumed only under an extended grant
    Given a running task whose lease the worker ended 40 ms before its grant
    Then the host asks for no resume
    When the grant is renewed
    Then the host asks for a resume until the end of the renewed grant

  # Guards against a second run when a copy of the first attempt is still on its way to the new home.
  Scenario Outline: A key of a bucket's attempt <attempt>, held for <held> s, is decided as <result>
    Given a host that has held the key's bucket as attempt <attempt> for <held> s
    When a first attempt with an unknown key arrives
    Then its reason is "<result>"

    Examples:
      | attempt | held | result     |
      | 1       | 1    | none       |
      | 2       | 1    | home_moved |
      | 2       | 15   | home_moved |
      | 2       | 16   | none       |
