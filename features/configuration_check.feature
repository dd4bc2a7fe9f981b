Feature: Check of a configuration before it is sent

  Scenario: A sound configuration has no finding
    When the configuration is checked
    Then the findings are: none
    And the exit code is 0 and the output has "0 errors, 0 warnings, 0 notices"
    And the exit code is 0 and the output has "not compared: state --in-force FILE or --store URL"

  # Guards against a fault that the daemons accept or skip silently, so that its writer learns of it from callers.
  Scenario Outline: <place> as <value> is found
    Given a configuration with <place> set to <value>
    When the configuration is checked
    Then the findings are: <findings>
    And the exit code follows the findings

    Examples: What the daemons cannot decode
      | place                      | value         | findings                                                      |
      | version                    | absent        | error cannot_be_decoded version                               |
      | version                    | "7"           | error cannot_be_decoded version                               |
      | version                    | 0             | error version_zero version                                    |
      | version                    | 7.5           | warning fraction_dropped version                              |
      | routes                     | {}            | error cannot_be_decoded routes, notice service_unused services[0] "desk" |
      | routes                     | []            | warning no_queues routes, notice service_unused services[0] "desk" |
      | services                   | 3             | error cannot_be_decoded services, error service_unknown routes[0] "prints" service, error service_unknown routes[1] "plans" service |
      | limits                     | 3             | error cannot_be_decoded limits                                |
      | limits.maxBodyBytes        | null          | error cannot_be_decoded limits.maxBodyBytes                   |
      | routes.0                   | "prints"      | error entry_left_out routes[0]                                |
      | routes.0.name              | absent        | error entry_left_out routes[0] name                           |
      | routes.0.host              | 4             | error entry_left_out routes[0] "prints" host                  |
      | routes.0.priority          | -1            | error entry_left_out routes[0] "prints" priority              |
      | routes.0.maxAttempts       | null          | error entry_left_out routes[0] "prints" maxAttempts           |
      | routes.0.stretch           | "2"           | error entry_left_out routes[0] "prints" stretch               |
      | routes.0.advice            | [1]           | error entry_left_out routes[0] "prints" advice                |
      | routes.0.advice            | {"decideMs": "5"} | error entry_left_out routes[0] "prints" advice            |
      | routes.0.priority          | 1.5           | warning fraction_dropped routes[0] "prints" priority          |
      | services.0.name            | absent        | error entry_left_out services[0] name, error service_unknown routes[0] "prints" service, error service_unknown routes[1] "plans" service |
      | services.0.rejectsOverload | "no"          | warning flag_malformed services[0] "desk" rejectsOverload     |
      | limits.idleTimeoutMs       | "3"           | warning value_malformed limits idleTimeoutMs                  |
      | routes.0.maxAttemps        | 3             | warning field_unknown routes[0] "prints" maxAttemps           |
      | routes.0.advice            | {"decideMS": 5} | warning field_unknown routes[0] "prints" advice.decideMS    |
      | routes.0.advice            | {}            | warning advice_empty routes[0] "prints" advice                |
      | colour                     | "red"         | notice field_unknown colour                                   |

    Examples: Entries that no call matches
      | place            | value            | findings                                                           |
      | routes.0.name    | ""               | error name_empty routes[0] "" name                                 |
      | routes.0.name    | "plans"          | error name_duplicate routes[0] "plans" name, error name_duplicate routes[1] "plans" name |
      | routes.0.host    | ""               | error host_invalid routes[0] "prints" host                         |
      | routes.0.host    | "a.example:80"   | error host_invalid routes[0] "prints" host                         |
      | routes.0.host    | "http://a"       | error host_invalid routes[0] "prints" host                         |
      | routes.0.host    | "::1"            | none                                                               |
      | routes.0.host    | "A.example"      | warning host_has_capitals routes[0] "prints" host                  |
      | routes.0.prefix  | ""               | error prefix_invalid routes[0] "prints" prefix                     |
      | routes.0.prefix  | "prints/"        | error prefix_invalid routes[0] "prints" prefix                     |
      | routes.0.prefix  | "/a b?/"         | warning prefix_needs_encoding routes[0] "prints" prefix            |
      | routes.0.prefix  | "/a/../b/"       | warning prefix_has_dot_segment routes[0] "prints" prefix           |
      | routes.0.prefix  | "/prints"        | notice prefix_without_slash routes[0] "prints" prefix              |
      | routes.1.prefix  | "/prints/"       | error never_matches routes[1] "plans" prefix                       |
      | routes.1.prefix  | "/prints/a/"     | none                                                               |
      | routes.1.prefix  | "/prints/G"      | notice prefix_without_slash routes[1] "plans" prefix               |
      | routes.1.prefix  | "/prints/0a"     | warning some_ids_never_match routes[0] "prints" prefix, notice prefix_without_slash routes[1] "plans" prefix |
      | routes.0.service | "desks"          | error service_unknown routes[0] "prints" service                   |
      | services.0.standby | true           | warning service_powered_off routes[0] "prints" service, warning service_powered_off routes[1] "plans" service |
      | services.1       | {"name": "spare"} | notice service_unused services[1] "spare"                         |
      | services.1       | {"name": "desk"} | error name_duplicate services[0] "desk" name, error name_duplicate services[1] "desk" name |

    Examples: Limits that contradict each other
      | place                    | value               | findings                                                        |
      | routes.0.maxAttempts     | 0                   | error max_attempts_zero routes[0] "prints" maxAttempts          |
      | routes.0.timeoutMs       | 0                   | error timeout_zero routes[0] "prints" timeoutMs                 |
      | routes.0.stretch         | 0.5                 | warning stretch_below_one routes[0] "prints" stretch            |
      | routes.0.targetLatencyMs | 0                   | warning target_zero routes[0] "prints" targetLatencyMs          |
      | routes.1.targetLatencyMs | 0                   | error objective_unreachable routes[1] "plans" targetLatencyMs   |
      | routes.0.advice          | {"decideMs": 250}   | none                                                            |
      | routes.0.advice          | {"decideMs": 200, "perWorkerMs": 51} | warning advice_exceeds_objective routes[0] "prints" advice |
      | routes.1.advice          | {"decideMs": 1001}  | error advice_exceeds_objective routes[1] "plans" advice         |
      | routes.0.advice          | {"decideMs": 5, "validityMs": 0} | error ticket_validity_zero routes[0] "prints" advice.validityMs |
      | limits.maxBodyBytes      | 0                   | error limit_zero limits maxBodyBytes                            |
      | limits.headerTimeoutMs   | 0                   | error limit_zero limits headerTimeoutMs                         |
      | limits.maxHeaderBytes    | 262145              | warning headers_beyond_body limits maxHeaderBytes               |
      | limits                   | {"maxBodyBytes": 3999} | warning body_below_payload limits maxBodyBytes               |

  Scenario Outline: A file with <text> is refused with a remedy
    Given a configuration file with <text>
    When the configuration is checked
    Then the exit code is 2 and the output has "<words>"

    Examples:
      | text                               | words                                                   |
      | nothing                            | configuration_unreadable                                |
      | [1, 2]                             | it is not a JSON object: a value of type list is not a map; correct |
      | {"version": 1,}                    | line 1 column 15                                        |
      | {"version": NaN}                   | NaN is no JSON value                                    |
      | {"version": 1, "x": 1e999}         | 1e999 is too large a number                             |
      | {"version": 1, "x": "\ud800"}      | surrogates not allowed                                  |
      | {"version": 1, "version": 2}       | error field_duplicate version: the field occurs twice   |

  Scenario: A missing file is refused with a remedy
    Given a configuration file that is missing
    When the configuration is checked
    Then the exit code is 2 and the output has "cannot be read: [Errno 2]"
    And the exit code is 2 and the output has "check the path and its permissions"

  # Guards against a text in the file that moves the cursor of the operator's terminal.
  Scenario: Names are printed without control characters
    Given a configuration with routes.0.name set to "\u0007"
    And a configuration with routes.0.\u0007 set to 1
    When the configuration is checked
    Then the output has no control characters

  # Guards against a finding that differs from what find_queue does with the paths of jobs.
  Scenario: Queues reported as never matching are those that no path of a job reaches
    Given odd values by seed 8
    When 300 sets of queues with similar prefixes are checked
    Then each queue is reported exactly if the daemons send it none of its calls

  # Guards against a check that passes what the decoder skips, or that fails at a value nobody expects.
  Scenario: No odd value fails the check, and whatever the decoder skips is an error
    Given odd values by seed 9
    When 400 odd configurations are checked against odd versions in force
    Then each has an error if the decoder skips a part of it

  # Guards against a later rule of the decoder for which the check has no finding of its own.
  Scenario: A refusal of the decoder that nothing else explains is an error
    When the configuration is checked with a decoder that has another rule
    Then the findings are: error cannot_be_decoded, error entry_left_out

  Scenario Outline: <place> as <value> is listed as a change
    Given the sound configuration is in force in a file
    And a configuration with version set to 8
    And a configuration with <place> set to <value>
    When the configuration is checked against the version in force
    Then the findings are: <findings>
    And the changes are: <changes>

    Examples:
      | place                | value  | findings                                     | changes                                                      |
      | version              | 8      | none                                         | none                                                         |
      | version              | 7      | error version_not_higher version             | none                                                         |
      | routes.0.maxAttempts | 5      | none                                         | changed queue "prints" maxAttempts: 4 -> 5                   |
      | routes.0.timeoutMs   | absent | none                                         | changed queue "prints" timeoutMs: 3000 -> absent             |
      | routes.0.advice      | {"decideMs": 5} | none                                | changed queue "prints" advice: absent -> {"decideMs": 5}     |
      | routes.0.prefix      | "/new/" | warning queue_moved routes[0] "prints"      | changed queue "prints" prefix: "/prints/" -> "/new/"         |
      | routes.1             | absent | warning queue_removed routes[1] "plans" in force | removed queue "plans": {"name": "plans", "host": "a.example", "prefix": "/plans/", "service": "desk", "stretch": 1} |
      | routes.1.host        | 4      | error entry_left_out routes[1] "plans" host, warning queue_removed routes[1] "plans" in force | changed queue "plans" host: "a.example" -> 4 |
      | routes.2             | {"name": "new", "host": "h", "prefix": "/", "service": "desk"} | none | added queue "new": {"name": "new", "host": "h", "prefix": "/", "service": "desk"} |
      | services.0.rejectsOverload | 1 | warning flag_malformed services[0] "desk" rejectsOverload | changed service "desk" rejectsOverload: true -> 1 |
      | limits.maxBodyBytes  | 9000   | warning headers_beyond_body limits maxHeaderBytes | changed limit "maxBodyBytes": 262144 -> 9000            |
      | limits.maxBodyBytes  | absent | none                                         | removed limit "maxBodyBytes": 262144                         |
      | colour               | 3      | notice field_unknown colour                  | added other "colour": 3                                      |

  Scenario: The JSON form has the findings and the changes
    Given the sound configuration is in force in a file
    And a configuration with routes.0.maxAttempts set to 0
    When the configuration is checked against the version in force as JSON
    Then the JSON report has all fields of findings and changes

  Scenario: The version in force is read from the store and nothing is written
    Given a store that holds the sound configuration
    And a configuration with routes.0.priority set to 1
    When the configuration is checked against the store
    Then the findings are: error version_not_higher version
    And the changes are: changed queue "prints" priority: 0 -> 1
    And the store received one read and no write

  Scenario: A store without a configuration is told
    Given a store that holds nothing
    When the configuration is checked against the store
    Then the exit code is 0 and the output has "holds no configuration yet"

  Scenario: A store that holds something else leaves the findings on the file
    Given a store that holds [1]
    And a configuration with routes.0.stretch set to 0.5
    When the configuration is checked against the store
    Then the findings are: warning stretch_below_one routes[0] "prints" stretch
    And the exit code is 2 and the output has "it is not a JSON object"

  Scenario Outline: A store that <fault> leaves the findings on the file
    Given a store that <fault>
    And a configuration with routes.0.stretch set to <stretch>
    When the configuration is checked against the store
    Then the findings are: <findings>
    And the exit code is <code> and the output has "not compared"
    And the exit code is <code> and the output has "try again later"

    Examples:
      | fault               | stretch | findings                                             | code |
      | refuses connections | 0.5     | warning stretch_below_one routes[0] "prints" stretch | 7    |
      | turns calls away    | 0.5     | warning stretch_below_one routes[0] "prints" stretch | 7    |
      | refuses connections | -1      | error entry_left_out routes[0] "prints" stretch      | 2    |

  Scenario Outline: The options <options> are refused
    When the configuration is checked with "<options>"
    Then the exit code is 2 and the output has "<words>"

    Examples:
      | options                                | words                 |
      | --store 127.0.0.1:2379                 | write http://ip:port  |
      | --store http://127.0.0.1               | write http://ip:port  |
      | --store http://127.0.0.1:x             | write http://ip:port  |
      | --store https://127.0.0.1:1            | write http://ip:port  |
      | --store http://127.0.0.1:1 --in-force x | give one of them     |
      | --in-force missing.json                | cannot be read        |

  Scenario: The page of the command line lists each kind of finding
    Then docs/CLI.md names each code of a finding
