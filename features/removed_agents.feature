Feature: Agents that are gone for good

  # Each later owner waited for the grants of such agents, and tasks that last were passed over meanwhile.
  Scenario: A later owner does not wait for an agent that was gone before
    Given an owner with a connected agent and one that is gone
    When 30 seconds pass and the agents are dialled again
    And another entry takes over
    Then the jobs of the former owner may start within 2 seconds
    And the connected agent was never removed

  # A connection that was made for a removed agent kept it from registering again.
  Scenario: The connection to an agent that is dropped while it is dialled is closed
    Given an owner with a connected agent and one that is gone
    When the link to a slow agent is stopped while it is dialled
    Then the slow agent has no connection

  Scenario: An agent that was cut off registers again and is used by the present and the next owner
    Given a registry with a connected agent and one that has been silent for long
    When the owner removes silent agents
    Then the silent agent is unknown and not registered
    And a late report over its former link is ignored
    When the silent agent writes its registration
    Then the owner knows it with no former runs
    And the next owner knows it

  # A later owner that did not know the agent would have missed runs on it.
  Scenario Outline: Nothing can start on an agent while the removal of its registration is <outcome>
    Given a registry with a connected agent and one that has been silent for long
    When the commit of the removal is <outcome>
    Then the silent agent was unknown when the commit was sent
    When the owner lists the agents again
    Then it still does not know the silent agent
    When the owner removes silent agents
    Then the silent agent is unknown and not registered

    Examples:
      | outcome                  |
      | unanswered and effective |
      | unanswered and lost      |
      | refused by the store     |

  Scenario: An unanswered removal that takes effect late spares a registration that was written meanwhile
    Given a registry with a connected agent and one that has been silent for long
    When the commit of the removal is unanswered and late
    And the silent agent registers at a new address
    And the late commit arrives
    Then the silent agent is registered and known at its new address

  Scenario: A registration that the owner has not seen yet stays
    Given a registry with a connected agent and one that has been silent for long
    When the silent agent registers at a new address, which the owner does not see yet
    And the owner removes silent agents
    Then the silent agent is registered and nothing is left to remove
    When the owner lists the agents again
    Then the silent agent is registered and known at its new address

  Scenario: An owner that was succeeded removes nothing
    Given a registry with a connected agent and one that has been silent for long
    When another entry has claimed the ownership
    Then the removal loses the ownership and the registration stays

  Scenario Outline: An agent is kept when <case>
    Given a registry with a connected agent and one that has been silent for long
    When <case>
    And the owner removes silent agents
    Then both agents are known and registered

    Examples:
      | case                                                |
      | its grant ended a moment ago                        |
      | it accepted a connection a moment ago               |
      | no heartbeat was stored since                       |
      | a former owner may have started runs on it          |
      | a run of it is not counted as lost                  |
      | it was dialled once since the owner's process stood |
      | no agent is connected                               |

  # Guards against a flood of store calls when all agents of an availability zone are lost at once.
  Scenario: The agents of a lost availability zone are removed a few at a time
    Given a registry with a connected agent and 40 that have been silent for long
    When the owner removes silent agents 3 times while the store refuses commits
    Then it has dropped 15 agents
    When the owner removes silent agents 3 times
    Then it has dropped 40 agents, none of them registered, with 3 commits of at most 32 keys

  Scenario: Tasks that failed on a removed worker run elsewhere
    Given a worker on which two tasks have failed and another one
    When the first worker is removed
    Then the tasks run on the second worker and none is set aside
