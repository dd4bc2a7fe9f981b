Feature: Frames between processes

  Scenario: Every message survives encoding and decoding
    Given one message of each type with all fields set
    When each is encoded and decoded
    Then each equals the original

  Scenario Outline: A bad frame is refused with a protocol error
    Given the frame "<frame>"
    When it is decoded
    Then a protocol error names "<problem>"

    Examples:
      | frame           | problem               |
      | truncated       | is not CBOR           |
      | text            | is not an array       |
      | empty_array     | is not an array       |
      | unknown_type    | unknown message type  |
      | distant_version | protocol version      |
      | wrong_field     | has type              |
      | wrong_nested    | has type              |

  Scenario: Versions one apart understand each other
    Given a heartbeat frame of the next version with an extra field
    When it is decoded
    Then the known fields are kept
    Given a heartbeat frame of the previous version without its last field
    When it is decoded
    Then the missing field has its default

  Scenario: Replies reach their own requests when they are sent out of order
    Given a listener that answers in the reverse order of arrival
    When 20 requests are sent at once
    Then each request gets the reply with its own id

  Scenario: A foreign frame closes the connection
    Given a listener that answers in the reverse order of arrival
    When a client sends a binary message that is no frame
    Then the connection closes and the protocol error is counted

  Scenario: A peer that stops reading holds no request past its timeout and gets whole frames later
    Given a listener that reads no more until it is released
    When 20 large requests are sent one by one with a timeout of 100 ms
    Then each ends in time, the first ones as unknown and the last one as not sent
    When the listener is released
    Then it receives each request whose outcome is unknown, and none that was not sent
