Feature: The program acaciastand-entry

  Scenario Outline: It ends with a clear error when <problem>
    When acaciastand-entry is started and "<problem>"
    Then it ends with exit code <code> and names "<text>"

    Examples:
      | problem                      | code | text               |
      | the settings file is missing | 2    | settings file      |
      | a key is unknown             | 2    | key colour         |
      | the port is in use           | 8    | cannot listen on   |
      | gevent runs on libuv         | 9    | unset GEVENT_LOOP  |
      | gevent runs on poll          | 9    | unset GEVENT_LOOP  |

  Scenario: It starts and serves while the store is down, and SIGTERM ends it with code 0
    When acaciastand-entry is started without a store
    Then /readyz succeeds
    And a request is refused with "no_target"
    And it ends with exit code 0 after SIGTERM
