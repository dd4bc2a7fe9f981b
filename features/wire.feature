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
