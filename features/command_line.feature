Feature: The command line

  Scenario Outline: Each kind of answer has its exit code
    Given an entry that answers "<method> <path>" with <status> and <answer>
    When "<command>" is run
    Then the exit code is <code> and the output has "<words>"

    Examples: Success
      | method | path                        | status | answer                                                 | command                                                        | code | words                   |
      | GET    | /v1/status                  | 200    | {"agents": 3}                                          | status                                                         | 0    | agents = 3              |
      | GET    | /v1/status                  | 200    | {"agents": 3}                                          | status --json                                                  | 0    | {"agents": 3}           |
      | GET    | /v1/settings/f/r/headroom   | 200    | {"value": 0.1, "level": "f"}                           | settings get f/r headroom                                      | 0    | 0.1  (f)                |
      | GET    | /v1/settings/f/headroom     | 200    | {"value": 0.1, "level": "f"}                           | settings get f headroom --json                                 | 0    | {"value": 0.1           |
      | PUT    | /v1/settings/f/headroom     | 200    | {"revision": 4}                                        | settings set f headroom 0.2 --if-revision 3 --author ann       | 0    | revision 4 accepted     |
      | DELETE | /v1/settings/f/headroom     | 200    | {"revision": 5}                                        | settings unset f headroom --if-revision 4 --author ann --json  | 0    | "state": "accepted"     |
      | GET    | /v1/settings                | 200    | {"revision": 2, "in_force": 1, "tree": {"f": {"headroom": 0.3}}} | settings tree                                        | 0    | headroom = 0.3          |
      | GET    | /v1/settings-history        | 200    | {"history": [{"revision": 2, "author": "ann", "path": "f", "key": "headroom", "value": null}]} | settings history | 0 | ann  f/headroom = unset |
      | POST   | /v1/jobs                    | 201    | {"job_id": "j0-1"}                                     | job submit --team t --batch-class print                        | 0    | j0-1                    |
      | GET    | /v1/jobs/j0-1               | 200    | {"state": "running"}                                   | job status j0-1                                                | 0    | running                 |
      | DELETE | /v1/jobs/j0-1               | 200    | {"state": "cancelling"}                                | job cancel j0-1                                                | 0    | cancelling              |
      | GET    | /v1/jobs/j0-1               | 200    | {"state": "completed"}                                 | job wait j0-1                                                  | 0    | completed               |
      | POST   | /v1/services/desk/requests  | 200    | {"price": 2}                                           | request desk --body x --key k                                  | 0    | {"price": 2}            |

    Examples: Failure
      | method | path                        | status | answer                                                                                 | command                                         | code | words                    |
      | GET    | /v1/status                  | 500    | {"code": "internal_error", "outcome": "unknown", "message": "m", "remedy": "r"}        | status                                          | 1    | internal_error           |
      | GET    | /v1/status                  | 200    | not json                                                                               | status                                          | 1    | answer_invalid           |
      | PUT    | /v1/settings/f/headroom     | 400    | {"code": "setting_invalid", "outcome": "not_run", "message": "m", "remedy": "use 0"}   | settings set f headroom 7 --if-revision 0       | 2    | use 0                    |
      | GET    | /v1/status                  | 200    | {}                                                                                     | status --unknown-option                         | 2    | No such option           |
      | GET    | /v1/jobs/j0-9               | 404    | {"code": "not_found", "outcome": "not_run", "message": "m", "remedy": "r"}             | job status j0-9                                 | 3    | not_found                |
      | PUT    | /v1/settings/f/headroom     | 409    | {"code": "settings_conflict", "outcome": "not_run", "message": "set by bob", "remedy": "review"} | settings set f headroom 0 --if-revision 0 | 4 | set by bob; review       |
      | POST   | /v1/services/desk/requests  | 503    | {"code": "no_target", "outcome": "not_run", "message": "m", "remedy": "r"}             | request desk --body x                           | 5    | outcome not_run          |
      | POST   | /v1/services/desk/requests  | 504    | {"code": "timed_out", "outcome": "unknown", "message": "m", "remedy": "r"}             | request desk --body x                           | 6    | outcome unknown          |
      | POST   | /v1/jobs                    | 0      | lost                                                                                   | job submit --team t --batch-class print         | 6    | answer_lost              |
      | PUT    | /v1/settings/f/headroom     | 503    | {"code": "store_unavailable", "outcome": "not_run", "message": "m", "remedy": "r"}     | settings set f headroom 0 --if-revision 0       | 7    | store_unavailable        |
      | GET    | /v1/jobs/j0-1               | 200    | {"state": "failed"}                                                                    | job wait j0-1                                   | 9    | ended as failed          |
      | GET    | /v1/jobs/j0-1               | 200    | {"state": "running"}                                                                   | job wait j0-1 --wait-seconds 0                  | 10   | wait again; the job goes |

  Scenario: An entry that cannot be reached has its own exit code
    Given an entry that is down
    When "status" is run
    Then the exit code is 8 and the output has "entry_unreachable"

  Scenario: A missing address is refused with the remedy
    When "status" is run without an entry
    Then the exit code is 2 and the output has "state --entry ip:port or set ACACIASTAND_ENTRY"

  Scenario: Waiting shows who lags and ends when the revision is in force everywhere
    Given an entry whose edit comes into force at the third look
    When "settings set f headroom 0.2 --if-revision 3 --wait" is run
    Then the exit code is 0 and the output has "1 lag: agent-1"
    And the exit code is 0 and the output has "unreachable: peer-2"
    And the exit code is 0 and the output has "revision 4 in_force"

  Scenario: Waiting for a job goes on through a takeover of its shard
    Given an entry whose job has no owner at the first look
    When "job wait j0-1" is run
    Then the exit code is 0 and the output has "no owner"
    And the exit code is 0 and the output has "completed"

  Scenario: A file with a wrong value is refused as a whole
    Given an entry that answers "POST /v1/settings" with 200 and {"revision": 1}
    When a tree file with one wrong value is imported
    Then the exit code is 2 and the output has "key maison-reprise/headroom: 3 is not allowed"
    And the entry received nothing

  Scenario Outline: The example trees are imported
    Given an entry that answers "POST /v1/settings" with 200 and {"revision": 1}
    When "settings import <file> --if-revision 0 --author ann" is run
    Then the exit code is 0 and the output has "revision 1 accepted"

    Examples:
      | file                              |
      | examples/maison-reprise/tree.toml |
      | examples/blue-mahoe/tree.toml     |
