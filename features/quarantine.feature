Feature: A quarantine ends with its cause

  # Tasks that last waited for up to 24 s for workers on which runs had failed within one second.
  Scenario: Tasks that last start on their only place, a worker on which runs failed a while ago
    Given worker 1 of 3 has failed 6 runs of different jobs at once and is sound again
    And the others are away
    When 8 tasks that last are submitted
    Then all of them run within 3 seconds
