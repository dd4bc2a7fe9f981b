Feature: Bounds of the host

  # Guards against tables of the host and the agent that grow without a limit.
  Scenario Outline: The table of "<bound>" is filled to its bound and refuses one more item
    Given a host at the bound "<bound>"
    When one more item is added
    Then the result is "<result>"

    Examples:
      | bound                  | result      |
      | heartbeats of a link   | stale_grant |
      | tracked attempts       | ledger_full |
      | closed numbers, grant  | ledger_full |
      | closed numbers, stop   | ledger_full |
      | shards                 | stale_epoch |
      | recorded bytes         | ledger_full |
      | entries of a directory | 256         |

  # Guards against a second run of a request whose outcome this host has forgotten or never had.
  Scenario Outline: The decision on a key without a record and attempt number <number> is <decision>
    Given a bucket tracked for <tracked> s, a key of age <age> s and a window of 600 s
    When a request with the key has attempt number <number>
    Then the decision is <decision>

    Examples:
      | number | tracked | age     | decision      |
      | 1      | 0       | unknown | run           |
      | 2      | 100     | unknown | home_moved    |
      | 2      | 600     | unknown | key_forgotten |
      | 2      | 25      | 10      | home_moved    |
      | 2      | 26      | 10      | run           |
      | 2      | 9000    | 585     | key_forgotten |
      | 2      | 9000    | 584     | run           |

  # Guards against a resume for the few milliseconds by which a lease ends before its grant.
  Scenario: A task whose lease ended early is resumed only under an extended grant
    Given a running task whose lease the worker ended 40 ms before its grant
    Then the host issues no resume command
    When the grant is renewed
    Then the host issues a resume command until the end of the renewed grant

  # Guards against a second run when a copy of the first attempt is still on its way to the new home.
  Scenario Outline: A key of bucket attempt <attempt>, tracked for <tracked> s, is refused as <reason>
    Given a host that has been the home of the bucket as attempt <attempt> for <tracked> s
    When a first attempt with an unknown key arrives
    Then the reason of its refusal is "<reason>"

    Examples:
      | attempt | tracked | reason     |
      | 1       | 1       | none       |
      | 2       | 1       | home_moved |
      | 2       | 15      | home_moved |
      | 2       | 16      | none       |
