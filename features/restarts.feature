Feature: Restarts of workers and agents

  # The owner compared the number of a poll with one of the agent's former life, and ignored what the
  # restarted agent reported until it had made as many polls again. The runs that were lost with the
  # worker were not started again meanwhile.
  Scenario Outline: Runs of a worker that restarts <when> its agent are started again at once
    Given 2 workers of 16 cores
    And a service of 4 tasks that is started after 20 seconds
    When one worker restarts <when> its agent
    Then all 4 tasks run within 1.0 seconds

    Examples:
      | when            |
      | together with   |
      | 1 second after  |

  # The stop of a run was confirmed to the former incarnation of the agent.
  Scenario: A run whose agent restarts after it was stopped starts again
    Given 2 workers of 16 cores
    And a service of 4 tasks that is started after 20 seconds
    When a run is stopped before it began and the agent of its worker restarts
    Then all 4 tasks run within 2.0 seconds

  # The new owner relied on what the agent had told it, while the restarted agent carried out starts of the former
  # owner, which still had its authority.
  Scenario Outline: An owner of epoch 3 is <accepted> by an agent that started while the store <shows>
    Given an agent that starts while the store <shows>
    When an owner of epoch 3 connects to it
    Then the owner is <accepted>

    Examples:
      | shows                        | accepted     |
      | names an owner of epoch 9    | not accepted |
      | names no owner at revision 5 | not accepted |
      | names an owner of epoch 3    | accepted     |
      | names no owner at revision 0 | accepted     |
      | is away                      | accepted     |

  # After the restart of a host its clock begins at zero. Until the first report the owner gave commands
  # a time limit on the clock of the former boot.
  Scenario: A command to a restarted agent has no time limit of its former boot
    Given the owner's connection to an agent whose clock shows 5000 seconds
    When the connection is made again and the agent has not reported
    Then a command that is sent is refused by an agent whose clock shows 3 seconds
