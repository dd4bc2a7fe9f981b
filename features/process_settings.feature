Feature: Settings files, logging and counters of the processes

  Scenario Outline: A bad settings file is refused with its name, the key and the remedy
    Given the agent's settings file of the example
    When its text "<old>" becomes "<new>"
    Then it is refused as "<code>" with "<words>"

    Examples:
      | old                      | new                      | code                      | words                               |
      | slots = 8                | slots =                  | settings_file_not_toml    | correct the syntax                  |
      | slots = 8                | slot = 8                 | settings_file_unknown_key | key slot: the key is not known      |
      | slots = 8                | slots = 'eight'          | settings_file_bad_value   | a whole number from 1 to 1024       |
      | slots = 8                | slots = true             | settings_file_bad_value   | a whole number from 1 to 1024       |
      | slots = 8                | slots = 0                | settings_file_bad_value   | a whole number from 1 to 1024       |
      | slots = 8                | slots = 1025             | settings_file_bad_value   | a whole number from 1 to 1024       |
      | 10.10.1.2:7001           | gent:7001                | settings_file_bad_value   | key entries                         |
      | 10.10.1.2:7001           | 10.10.1.2                | settings_file_bad_value   | with an IPv4 address and a port     |
      | 10.10.1.2:7001           | 10.10.1.2:65536          | settings_file_bad_value   | from 1 to 65535                     |
      | 10.10.1.2:7001           | 10.10.1.2:0              | settings_file_bad_value   | from 1 to 65535                     |
      | http://10.10.1.11:9000   | https://10.10.1.11:9000  | settings_file_bad_value   | key target_url                      |
      | http://10.10.1.11:9001   | http://worker:9001       | settings_file_bad_value   | key worker_url                      |
      | maison-reprise/flanders/ | maison-reprise/          | settings_file_bad_value   | "firm/region/site"                  |
      | rack =                   | statsd_address = '' #    | settings_file_missing_key | key rack: the key is missing        |
      | connections = 64         | log_level = 'loud'       | settings_file_bad_value   | one of "debug", "info"              |
      | ["order-desk"]           | []                       | settings_file_bad_value   | a list of 1 to 256 items            |
      | ["order-desk"]           | 'order-desk'             | settings_file_bad_value   | a list of 1 to 256 items            |

  Scenario: A file that is missing, too large or not UTF-8 is refused
    Then unreadable settings files are refused

  Scenario: The examples describe the two deployments
    Then each example has 3 entries and 11 agents in racks of at most 3

  Scenario: Log lines are JSON objects and the level can change
    Then a log line has time, level, logger, message and extra fields

  Scenario: Counters are sent, kept and bounded
    Then counters reach statsd and keep bounded totals

  Scenario: Counters never raise
    Then counters work without an address, with a dead one and after closing
