Feature: Zones that the operators drain
  The operators request in the store that a zone gets no new work. The bound of the request is five
  seconds; zone-a and zone-b have workers.

  # Guards against a request that nobody reads: tasks went on starting in the zone.
  Scenario: Nothing starts in a drained zone after the bound, in real processes
    Given a site of 2 entries and 4 agents in 2 zones that can be drained
    When zone-b is drained and jobs are submitted for 8 seconds
    Then nothing starts in zone-b later than 5 seconds after the request
    When the owner is killed and jobs are submitted for 5 seconds
    Then nothing starts in zone-b later than 5 seconds after the request
    When the request is removed and jobs are submitted for 4 seconds
    Then runs start in zone-b again

  # Guards against a watch whose connection goes silent without a reset.
  Scenario: A request is seen in time although all connections went silent before it
    Given a site of 2 entries and 4 agents in 2 zones that can be drained
    When all connections go silent
    And zone-b is drained and jobs are submitted for 8 seconds
    Then nothing starts in zone-b later than 5 seconds after the request

  # Guards against an owner that keeps the jobs while the store refuses it, and learns of no request.
  Scenario: An owner that the store refuses sees a request through another entry
    Given a site of 2 entries and 4 agents in 2 zones that can be drained
    When 2 jobs of 2 tasks of 0.2 seconds are submitted
    Then the jobs are "completed" within 10 seconds at every entry
    When the store refuses the owner
    And zone-b is drained and jobs are submitted for 8 seconds
    Then nothing starts in zone-b later than 5 seconds after the request
    And the owner is still the same after 0 seconds

  # Guards against a start in the zone under full load, when every worker is wanted.
  Scenario: Work for all workers stays outside the drained zone and uses it again afterwards
    Given two zones of 2 workers each, of which zone-b is drained
    When 80 tasks wait
    Then runs start in zone-a only
    When a worker joins zone-b
    Then runs start in zone-a only
    When the drain of zone-b ends
    Then runs start in zone-b as well

  Scenario Outline: <work> does not start in a drained zone
    Given two zones of 2 workers each, of which zone-b is drained
    When <work> waits
    Then runs start in zone-a only

    Examples:
      | work                              |
      | a gang that both zones could hold |
      | a suspect of a crash              |

  # Guards against tasks that start on slow workers while others have capacity.
  Scenario: Workers that come back are used last while they are slow
    Given two zones of 2 workers each, of which zone-b is drained
    When 8 tasks wait
    And the drain of zone-b ends while its workers are slow
    And 8 tasks wait
    Then runs start in zone-a only
    When 80 tasks wait
    Then runs start in zone-b as well

  Scenario Outline: A report <kind> tells how long the worker is slow
    When an agent <kind> reports a worker that is slow for 3 seconds
    Then the owner takes it as slow for <seconds> seconds

    Examples:
      | kind                    | seconds |
      | of this version         | 3       |
      | of the former version   | 0       |

  Scenario: Advice is not requested on workers of a drained zone
    Given two zones of 2 workers each, of which zone-b is drained
    When a task of an advised queue waits
    Then the request for advice names workers of zone-a only

  # Guards against a refusal or failure of work that can run once a zone is back.
  Scenario: Work waits while all zones are drained
    Given two zones of 2 workers each, of which zone-a and zone-b are drained
    When 80 tasks wait
    Then nothing starts and no job fails
    When the drain of zone-a ends
    Then runs start in zone-a only

  Scenario Outline: A <kind> run in a drained zone <outcome>
    Given two zones of 2 workers each with a <kind> run in zone-b
    When zone-b is drained for 2 seconds
    Then the run <outcome>

    Examples:
      | kind                         | outcome                              |
      | long checkpointed            | continues in zone-a with its progress |
      | continuous                   | continues in zone-a with its progress |
      | short checkpointed           | stays because of ends_soon           |
      | long and not checkpointed    | stays because of no_checkpoints      |
      | gang                         | stays because of gang                |

  # Guards against moves that take away more of a service than its owner allows.
  Scenario Outline: Of a continuous step <limit> at most one task more is absent
    Given two zones of 2 workers each with 4 continuous tasks <limit> in zone-b
    When zone-b is drained for 12 seconds while each task needs 2 seconds to be at work
    Then at no time more than 1 of them is absent
    And all of them are at work in zone-a

    Examples:
      | limit                       |
      | without a limit             |
      | of which 1 may be absent    |
      | of which 3 may be absent    |

  Scenario: No continuous task moves while another one is absent for another cause
    Given two zones of 2 workers each with 4 continuous tasks of which 1 may be absent in zone-b
    And one of them is not at work
    When zone-b is drained for 3 seconds
    Then none of them is stopped, because of absences

  Scenario Outline: No run moves <obstacle>
    Given two zones of 2 workers each with a long checkpointed run in zone-b
    When zone-b is drained for 2 seconds <obstacle>
    Then the run stays because of <reason>

    Examples:
      | obstacle                              | reason      |
      | while zone-a is full                  | no_capacity |
      | while the view is not confirmed       | unconfirmed |

  # An owner that cannot read the requests may have missed one; the store acknowledges none while it
  # is down for everyone.
  Scenario Outline: Starts <outcome> when the owner <cause> for most of the bound
    Given two zones of 2 workers each, of which none is drained
    When the owner <cause> for 4 seconds
    And a task waits
    Then starts <outcome>
    When the owner reads the requests again
    Then starts go on

    Examples:
      | cause                                                    | outcome      |
      | reaches neither the store nor another entry              | are held back |
      | and another entry do not reach the store                 | go on        |
      | was suspended                                            | are held back |

  Scenario: A takeover reads the requests before anything starts
    Given a store in which zone-b is drained
    When an owner takes over
    Then zone-b is drained for its scheduler before its first plan

  Scenario: A takeover without a bound makes no call about drained zones
    Given a store in which zone-b is drained
    When an owner without the setting takes over
    Then it has made no call about drained zones

  Scenario Outline: <case>
    Given an owner that follows the requests
    When <events>
    Then the drained zones are "<zones>"

    Examples:
      | case                                               | events                                                     | zones         |
      | A request written during a slowness of the store   | zone-b is drained while the store does not answer          | zone-b        |
      | A request removed between the read and the watch   | zone-b is drained before the read and back before the watch |               |
      | A zone requested twice and removed once            | zone-b is drained twice and back once                      |               |
      | A request removed and written again at once        | zone-b is drained, back and drained in one change          | zone-b        |
      | A request for a zone without workers               | zone-x is drained                                          | zone-x        |
      | A key without a zone                               | an empty zone is drained                                   |               |
      | A value that is no object                          | zone-b is drained with a value that is no object           | zone-b        |
      | Requests changed while the history was dropped     | zone-b is drained, and zone-a instead without history      | zone-a        |
      | The same while the store refuses the owner         | the same happens while the store refuses the owner         | zone-a        |

  Scenario: A zone that is requested twice is drained since the first request
    Given an owner that follows the requests
    When zone-b is drained twice
    Then its drain is the one of the first request

  Scenario: A request for a zone without workers is logged once
    Given two zones of 2 workers each, of which zone-x is drained
    When 80 tasks wait
    Then runs start in zone-a and zone-b
    And zone-x is logged once as unknown
