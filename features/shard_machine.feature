Feature: A task runs in one place despite takeovers, link faults, frozen processes and outages

  Scenario Outline: The state machine of the shard finds no violation with seed <seed>
    When the shard machine runs with seed <seed> and 40 examples
    Then the shard machine finds no violation

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: Guard "<guard>" against <case>
    When the script "<case>" runs on the shard simulation
    Then the shard simulation shows no violation
    And agents sent digests instead of lists
    When the script "<case>" runs without the guard "<guard>"
    Then the shard simulation shows "<violation>"

    Examples:
      | case                                                  | guard                            | violation          |
      | takeover with the host partitioned from the new owner | takeover wait of a new owner     | runs in two places |
      | takeover with the host partitioned from the new owner | renewal limit                    | runs in two places |
      | unresponsive host that comes back                     | expiry of the grant              | runs in two places |
      | unresponsive host that comes back                     | renewal of current attempts only | runs in two places |
      | lost reply to a grant                                 | unknown result of a grant        | runs in two places |
      | agent that has not seen the new epoch                 | epoch seen by the agent          | runs in two places |
      | restarted agent that reaches only the former owner    | valid lease for adoption         | runs in two places |
      | start that its owner cannot commit                    | messages after the commit        | was started twice  |
      | messages delivered twice                              | idempotent reports               | contradicts        |
      | two evictions in a row with lost reports              | checkpoint with the end          | not the checkpoint |
      | release by an owner that never reached the host       | unconfirmed epochs at release    | runs in two places |
      | cancellation during eviction and takeover             | no restart of cancelled tasks    | lost or never      |
      | agent that joins and is assigned buckets              | bucket ends before it moves      | has two homes      |
      | takeover with the host partitioned from the new owner | digest only for equal renewals   | runs in two places |
      | restarted agent that reaches only the former owner    | digest only for equal renewals   | runs in two places |

  Scenario Outline: An urgent job starts within 9 s when its owner <fault> <moment>
    Given a shard simulation with two free workers
    When an urgent job is accepted and its owner <fault> <moment>
    Then the urgent job starts within 9 s of its submission

    Examples:
      | fault   | moment           |
      | freezes | after the commit |
      | freezes | after the grant  |
      | crashes | after the commit |
      | crashes | after the grant  |
      | leaves  | after the commit |

  Scenario Outline: No pair of faults that begins with "<first>" causes a violation
    When the fault "<first>" is followed by each fault in turn
    Then the shard simulation shows no violation

    Examples:
      | first                           |
      | owner freezes                   |
      | owner crashes                   |
      | owner is cut off from the store |
      | owner releases the shard        |
      | store outage begins             |
      | store answers are lost          |
      | agent freezes                   |
      | agent restarts                  |
      | worker is replaced              |
      | host is cut off                 |
      | messages to the host are lost   |
      | task is evicted                 |
      | job is cancelled                |
