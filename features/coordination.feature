Feature: Coordination library

  Scenario Outline: Every store keeps the contract of KeyValueStore: <rule> (<store>)
    Given the <store> store
    Then the store keeps the rule "<rule>"

    Examples:
      | store  | rule                                                       |
      | memory | a write needs the expected version                         |
      | http   | a write needs the expected version                         |
      | memory | a version never repeats after a deletion                   |
      | http   | a version never repeats after a deletion                   |
      | memory | a deletion needs the expected version                      |
      | http   | a deletion needs the expected version                      |
      | memory | a list is ordered and limited to the prefix                |
      | http   | a list is ordered and limited to the prefix                |
      | memory | a lapsed lease removes its keys and refuses renewals       |
      | http   | a lapsed lease removes its keys and refuses renewals       |
      | memory | a renewed lease outlives its time to live                  |
      | http   | a renewed lease outlives its time to live                  |
      | memory | a revoked lease removes its keys                           |
      | http   | a revoked lease removes its keys                           |
      | memory | a watch returns a newer version and None after its timeout |
      | http   | a watch returns a newer version and None after its timeout |
      | memory | a watch ends when the key is deleted                       |
      | http   | a watch ends when the key is deleted                       |
      | memory | a waiting watch counts as one call                         |
      | http   | a waiting watch counts as one call                         |
      | memory | an outage refuses every call without effect                |
      | http   | an outage refuses every call without effect                |
      | memory | errors can be limited to some kinds of call                |
      | http   | errors can be limited to some kinds of call                |
      | memory | a lost answer leaves its effect                            |
      | http   | a lost answer leaves its effect                            |
      | memory | a value above one megabyte is refused                      |
      | http   | a value above one megabyte is refused                      |

  Scenario: A refused connection has no effect and a late answer leaves the outcome open
    Given the http store
    When its service takes longer than the timeout
    Then a write raises StoreAnswerLost and a read raises StoreUnavailable
    When its service has stopped
    Then a write raises StoreUnavailable and a read raises StoreUnavailable

  Scenario: A call beyond the client's connections waits for a free one
    Given the http store
    Then one call more than the client has connections succeeds in a second round

  Scenario: The client's timeout covers the whole answer, not each part of it
    Given a service that sends one byte of its answer each 30 ms
    Then a read and a watch end within their timeouts and leave their connections free

  Scenario: A connection beyond the service's limit waits until another one is closed
    Given a service for 1 connection whose connection is taken
    Then a read is served only after that connection is closed

  Scenario: The stand-in program announces its address and stops cleanly on a signal
    When the stand-in program is started and gets SIGTERM while a watch waits
    Then the watch has ended as at its timeout
    And it answered a call at its address and ended with exit code 0

  Scenario Outline: The state machine <machine> finds no violation
    When the machine "<machine>" runs <steps> steps with seed 7
    Then it found nothing

    Examples:
      | machine        | steps |
      | owned-journal  | 2500  |
      | shared-journal | 2500  |
      | ownership      | 2500  |

  Scenario: A violation that the fuzz command finds is printed with the command that repeats it
    When a machine that fails after a few steps is fuzzed with seed 3
    Then the output names the violation, the steps and the command with seed 3

  Scenario Outline: A bound refuses what is beyond it and keeps what is within: <bound>
    Then the bound "<bound>" holds

    Examples:
      | bound           |
      | entry bytes     |
      | snapshot bytes  |
      | ring slots      |
      | takeover slots  |
      | keys            |
      | key bytes       |
      | leases          |
      | planned faults  |
      | delayed writes  |

  Scenario: A lease is renewed only when due and its validity counts from before the call
    When a lease of 12 seconds is renewed every second for 8 seconds
    Then the store saw 2 renewals and the lease holds 12 / 1.05 seconds from the last

  Scenario: An entry that leaves moves only its own shards
    Then removing one of 5 entries changes the owner of only its own of 500 shards

  Scenario: The example for embedders runs
    When the example of docs/COORDINATION.md is executed
    Then it prints what the page says
