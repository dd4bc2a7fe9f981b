Feature: A task runs in one place through takeovers, bad links, freezes and outages

  Scenario Outline: The state machine of the shard finds no violation with seed <seed>
    When the shard machine runs with seed <seed> and 40 examples
    Then the shard machine finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: Guard "<guard>" against <case>
    When the script "<case>" runs on the shard world
    Then the shard world shows no violation
    And agents sent digests in place of lists
    When the script "<case>" runs without the guard "<guard>"
    Then the shard world shows "<violation>"

    Examples:
      | case                                               | guard                       | violation          |
      | takeover while host and new owner are cut off      | wait of a new owner         | runs in two places |
      | takeover while host and new owner are cut off      | outage hold                 | runs in two places |
      | silent host that comes back                        | expiry of the grant         | runs in two places |
      | silent host that comes back                        | only current attempts       | runs in two places |
      | lost reply to a grant                              | unknown fate of a grant     | runs in two places |
      | agent that has not seen the new epoch              | epoch seen by the agent     | runs in two places |
      | restarted agent that reaches only the former owner | valid lease for adoption    | runs in two places |
      | start that its owner cannot commit                 | effects after the commit    | was started twice  |
      | report twice in a row                              | reports are idempotent      | contradicts        |
      | eviction twice in a row with lost reports          | checkpoint with the end     | not the checkpoint |
      | release by an owner that never reached the host    | unconfirmed at release      | runs in two places |
      | cancellation during eviction and takeover          | cancelled tasks do not wait | lost or never      |
      | agent that joins and gets buckets                  | bucket ends before it moves | has two homes      |
      | takeover while host and new owner are cut off      | digest only of the same renewals | runs in two places |
      | restarted agent that reaches only the former owner | digest only of the same renewals | runs in two places |

  Scenario Outline: Urgent work starts within 9 s when its owner <fault> <moment>
    Given a shard world with two free workers
    When an urgent job is accepted and its owner <fault> <moment>
    Then the urgent job starts within 9 s of its submission

    Examples:
      | fault   | moment           |
      | freezes | after the commit |
      | freezes | after the grant  |
      | crashes | after the commit |
      | crashes | after the grant  |
      | leaves  | after the commit |

  Scenario Outline: No pair of faults that begins with "<first>" breaks a rule
    When the <first> and then each other fault happens, or the same again
    Then the shard world shows no violation

    Examples:
      | first                           |
      | owner freezes                   |
      | owner crashes                   |
      | owner is cut off from the store |
      | owner releases                  |
      | store outage begins             |
      | store answers are lost          |
      | agent freezes                   |
      | agent restarts                  |
      | worker is replaced              |
      | host is cut off                 |
      | replies to the host are lost    |
      | task is evicted                 |
      | job is cancelled                |
