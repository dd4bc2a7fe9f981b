Feature: Well-formed values that are nothing that this system writes

  # Another writer left one odd entry among those of the agents: very deeply nested, with a number too large,
  # or with a port out of range. The loop that met it failed again and again, and nothing started any more.
  Scenario Outline: A takeover skips an odd entry below <prefix> and starts all other jobs
    Given odd values by seed 1
    When an owner takes over with 150 odd entries below <prefix>, one at a time
    Then each time it has started the other job
    And each skipped entry is counted

    Examples:
      | prefix          |
      | members/agents/ |
      | inbox/jobs/     |
      | inbox/cancels/  |
      | progress/       |
      | learned/        |

  Scenario Outline: An owner at work skips an odd entry below <prefix>
    Given odd values by seed 2
    When an owner at work meets 150 odd entries below <prefix>
    Then it starts a job that is submitted after them

    Examples:
      | prefix          |
      | members/agents/ |
      | inbox/jobs/     |
      | inbox/cancels/  |

  Scenario: An odd entry among those of the entries connects to nobody
    Given odd values by seed 3
    When an entry reads 150 odd entries below members/entries/ beside a good one
    Then it connects to the good one each time

  Scenario: An odd owner key is claimed with an epoch above all former ones
    Given odd values by seed 4
    When an entry finds 150 odd owner keys
    Then it claims each with an epoch above its revision

  Scenario: Odd heartbeats of a worker name no worker, and its own ones hold
    Given odd values by seed 5
    When an agent gets 300 odd heartbeats
    Then the agent still follows its worker

  Scenario: Odd rows in what a worker lists are skipped, and the others hold
    Given odd values by seed 6
    When a poll returns an odd row among the runs and the ends, 300 times
    Then each time the other rows are processed

  Scenario: An odd report of an agent harms no other
    Given odd values by seed 7
    When an owner gets 300 odd reports of one agent
    Then it still processes the reports of another and plans

  # Guards against a pattern for names, or bounds of numbers, that let pass what cannot be a run.
  Scenario: A report keeps exactly the runs whose name and numbers can be those of a run
    When an owner gets a report of runs with good and odd names and numbers
    Then the report has the good runs in their order
    And each odd run is counted

  Scenario: An entry takes only items of the inbox from another entry
    When another entry notifies the owner of an agent that has registered
    Then the call is refused and names the key

  Scenario: Odd grants and commands of an owner leave the agent at work
    Given odd values by seed 8
    When an agent gets 300 odd grants and start commands
    Then it has started nothing and still answers

  Scenario: An odd queue in the configuration is left out, and the others hold
    Given odd values by seed 9
    When the configuration has an odd queue 150 times
    Then each time the other queue is served

  Scenario: Odd replies of other entries are errors of the call
    Given odd values by seed 10
    When another entry gives 300 odd replies
    Then each call ends with an error or a checked value

  Scenario: An odd item in a page of the store is skipped
    Given odd values by seed 11
    When the store lists an odd item among others 150 times
    Then each time the other items are returned

  Scenario: Odd submissions of callers are invalid input
    Given odd values by seed 12
    When 300 odd submissions are decoded
    Then each is invalid input or a job that can be stored and read again
