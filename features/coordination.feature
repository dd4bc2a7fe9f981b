Feature: Coordination library

  Scenario Outline: Every store meets the contract of KeyValueStore: <rule> (<store>)
    Given the <store> store
    Then the store satisfies the rule "<rule>"

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
      | memory | an expired lease removes its keys and refuses renewals     |
      | http   | an expired lease removes its keys and refuses renewals     |
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
      | memory | a write whose response is lost takes effect                |
      | http   | a write whose response is lost takes effect                |
      | memory | a value above one megabyte is refused                      |
      | http   | a value above one megabyte is refused                      |

  Scenario: A refused connection has no effect, and a late response leaves the outcome unknown
    Given the http store
    When its service takes longer to respond than the client's timeout
    Then a write raises StoreAnswerLost and a read raises StoreUnavailable
    When its service has stopped
    Then a write raises StoreUnavailable and a read raises StoreUnavailable

  Scenario: A call beyond the client's connection limit waits for a free connection
    Given the http store
    Then the call beyond the client's connections succeeds after another call has ended

  Scenario: The client's timeout covers the whole response, not each part of it
    Given a service that sends one byte of its response every 30 ms
    Then a read and a watch end within their timeouts and release their connections

  Scenario: A connection beyond the service's limit waits until another one is closed
    Given a service that is limited to 1 connection, which is in use
    Then a read is served only after that connection is closed

  Scenario: The stand-in program prints its address and exits cleanly on SIGTERM
    When the stand-in program is started and receives SIGTERM while a watch waits
    Then the watch returned None, as at its timeout
    And the program served a call at its address and exited with code 0

  Scenario Outline: The state machine <machine> finds no violation
    When the machine "<machine>" runs <steps> steps with seed 7
    Then it found no violation

    Examples:
      | machine        | steps |
      | owned-journal  | 2500  |
      | shared-journal | 2500  |
      | ownership      | 2500  |

  Scenario: The fuzz command prints a violation and the command that reproduces it
    When a machine that fails after a few steps is fuzzed with seed 3
    Then the output names the violation, the steps and the command with seed 3

  Scenario Outline: What is within a bound is accepted, and what is beyond it is refused: <bound>
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

  Scenario: A lease is renewed only when due, and its validity is counted from before the call
    When the holder of a lease of 12 seconds calls renew every second for 8 seconds
    Then the store received 2 renewals and the lease is valid for 12 / 1.05 seconds from the last

  Scenario: An entry that leaves moves only the shards that it owned
    Then removing one of 5 entries changes the owner of only those of 500 shards that it owned

  Scenario: The example for programs that embed the library runs
    When the example of docs/COORDINATION.md is executed
    Then it prints the output that the page shows
