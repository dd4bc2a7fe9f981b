Feature: Bounds of connections, messages and settings

  Scenario Outline: The bound <bound> holds at the bound and just beyond it
    Then the daemons keep the bound "<bound>"

    Examples:
      | bound                       |
      | MAX_CALLER_CONNECTIONS      |
      | MAX_PUSHES                  |
      | MAX_PENDING_REQUESTS        |
      | MAX_HANDLERS                |
      | MAX_CONNECTIONS             |
      | MAX_SUPERSEDED_INCARNATIONS |
      | MAX_KEY_BYTES               |
      | MAX_LIST_ITEMS              |
      | MAX_FRAME_BYTES sent        |
      | MAX_FRAME_BYTES taken       |
      | request headers             |
