Feature: HTTP calls of the agent to its worker and target

  Scenario: The agent's program loads neither OpenSSL nor the HTTP client of the entry
    When the agent's program is loaded in a process of its own
    Then it has loaded none of "_ssl _hashlib geventhttpclient falcon typer"

  Scenario: A kept connection that the server closed is replaced
    Given a server that closes each connection after one answer without saying so
    When two calls are made one after the other
    Then both are answered and each reached the server once

  Scenario Outline: <answer> is an unknown outcome and is not repeated
    Given a server that sends "<answer>"
    When a call is made
    Then the call broke off and reached the server once

    Examples:
      | answer                |
      | half a body           |
      | no length             |
      | half a chunk          |
      | garbage               |
      | nothing               |
      | more than a megabyte  |

  Scenario: A call that nothing answers ends in time
    Given a server that sends "silence"
    When a call is made
    Then the call timed out

  # A page of jobs took longer than the timeout over a link of 5 Mbit/s, so an owner there read it again
  # and again and never took over (reprise-ops-grown, trouble-1 and trouble-3: nothing was served).
  # Connections go silent together. Each later call took another one of them and waited for its timeout.
  Scenario: Idle connections are not used again once a call has timed out
    Given a server that answers each connection once and then keeps silent
    When 3 calls at the same time leave their connections idle
    And another call times out
    Then the next call is answered over a new connection

  Scenario: A large answer over a thin link is read as long as parts of it arrive
    Given a server that sends 6 of 6 parts, one each 0.2 seconds
    When a call with a timeout for each part is made
    Then its whole answer of 6 parts arrives

  Scenario: A large answer that stops on the way is noticed
    Given a server that sends 2 of 6 parts, one each 0.2 seconds
    When a call with a timeout for each part is made
    Then the call timed out within 2.0 seconds
