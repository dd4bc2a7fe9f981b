Feature: Decisions of owner, agents and entries apart from I/O

  Scenario Outline: A candidate <claims> when <case>
    Given a candidate that reads the store every 0.25 seconds
    When <case>
    Then it <claims>

    Examples:
      | case                                                                                | claims         |
      | no owner was ever recorded                                                          | claims         |
      | the heartbeat rises for 5 seconds                                                   | does not claim |
      | the heartbeat is unchanged for 1.5 seconds                                          | does not claim |
      | the heartbeat is unchanged for 2.5 seconds                                          | claims         |
      | the heartbeat is unchanged before and after a 3 second outage                       | does not claim |
      | the owner's address refuses connections and the heartbeat is unchanged for 1 second | claims         |
      | the owner released its key                                                          | claims         |
      | the owner was an earlier incarnation of this entry                                  | claims         |

  # An owner on a small host was short of bandwidth and processor time with 58 agents.
  Scenario: An entry on a small host leaves the ownership to others for a while
    Given a candidate on a small host that reads the store every 0.25 seconds
    When the heartbeat is unchanged for 2.2 seconds
    Then it does not claim
    When the heartbeat is unchanged for 0.5 seconds
    Then it claims

  # The successor waited for the authority of the former owner from an older heartbeat on, while the former owner
  # had authority until 8 s after a heartbeat that was stored between the last read and the claim.
  Scenario: A heartbeat that is stored after the last read keeps another entry from claiming
    Given an owner whose last heartbeat was stored 0.1 seconds ago
    When another entry has read the owner key, and a held heartbeat is stored then
    Then its claim fails
    When it has read the keys again
    Then its claim succeeds

  Scenario: A heartbeat may have been sent until the read that first shows it returns
    Given a candidate that reads the store every 0.25 seconds
    When a read that takes 0.9 seconds shows another heartbeat
    Then the heartbeat may have been sent 0.9 seconds after the read began

  # Only eight jobs were removed every ten seconds, however many had ended meanwhile.
  Scenario: All jobs that ended long ago are removed in one round
    Given an owner whose last heartbeat was stored 0.1 seconds ago
    When 25 jobs ended long ago and 1 a moment ago
    Then one round removes the 25 from memory and store

  # If another owner has been elected meanwhile, it starts the new job at once. Both owners started such
  # a job, so two runs of one task were in progress (bmfw-stand, trouble-1 --seed 335939630394).
  Scenario: An owner without a recent heartbeat defers new jobs until its next heartbeat
    Given an owner whose last heartbeat was stored 1.6 seconds ago
    When it is notified of a new job
    Then it does not schedule the job
    When its heartbeat is stored
    Then it schedules the job

  # Another owner that was elected before the registration takes the agent for new too. Both started tasks that
  # waited for room, the former owner on the new agent and its successor elsewhere.
  Scenario: An owner without a recent heartbeat defers new agents until its next heartbeat
    Given an owner whose last heartbeat was stored 1.6 seconds ago
    When an agent registers
    Then it does not connect to the agent
    When its heartbeat is stored
    Then it connects to the agent

  # A heartbeat that was sent before the end of a grant and answered after it does not show that no other owner
  # extended the grant.
  Scenario: A heartbeat confirms the ownership at the time at which it was sent
    Given an owner whose last heartbeat was stored 1.6 seconds ago
    When its next heartbeat is stored 0.4 seconds after it was sent
    Then the ownership is confirmed at the time at which it was sent

  Scenario: An owner sends a heartbeat at once when a grant has expired that another owner may have extended
    Given an owner whose last heartbeat was stored 1.6 seconds ago
    When the grant of an agent that has not reported has expired
    Then a heartbeat is stored within 0.2 seconds
    And the agent counts as having reported

  # The process stood still after its claim. Another owner was elected meanwhile and started the job.
  Scenario Outline: When a new owner reads the jobs <seconds> seconds after its claim, a job accepted since <waits>
    Given an owner whose last heartbeat was stored <seconds> seconds ago
    When it reads the jobs, of which one was accepted after its claim
    Then that job <waits>

    Examples:
      | seconds | waits                             |
      | 0.1     | may start at once                 |
      | 1.6     | waits for the reports of agents   |

  # The answer to the release was lost. The successor claimed, and both owners started a job that was
  # accepted then.
  Scenario: An owner that hands over starts nothing more
    Given an owner whose last heartbeat was stored 0.1 seconds ago
    When it is notified of a new job while the answer to its release is on its way
    Then it does not schedule the job

  Scenario: An owner learns from a conflict that it was superseded
    Given an owner whose last heartbeat was stored 0.1 seconds ago
    When another entry claims the ownership
    Then its next commit loses the ownership and writes nothing

  Scenario: The outcome of an unanswered commit is settled by the next one
    Given an owner whose last heartbeat was stored 0.1 seconds ago
    When the answer to its commit of a job is lost
    Then the next commits store the job without losing the ownership

  # A loop without a pause fills the link of the owner and uses up the rate limit of the store.
  Scenario: An owner pauses between lists while the store drops its history again and again
    Given an owner whose last heartbeat was stored 0.1 seconds ago
    When each of its watches finds the history dropped for 0.55 seconds
    Then it has listed the jobs at most 6 times

  # The worker restarted while polls failed. The next poll acknowledged ends of the new incarnation, which
  # were lost, and their tasks ran again (soak seeds 27 and 30).
  Scenario: A poll after a failed one acknowledges nothing
    Given an agent that has acknowledged 7 ends of its worker
    When a poll fails and the worker restarts
    Then the next poll acknowledges nothing and shows the new incarnation

  # A run can have ended before its start is repeated, and the worker then refuses the repetition. The
  # refusal counted as proof that nothing had started, and the task was started again beside or after
  # that run.
  Scenario Outline: A start that was not answered stays unknown when its repetition <repetition>
    Given an agent whose worker does not answer the first call of a start
    When the repetition <repetition>
    Then the outcome of the start is "<outcome>"

    Examples:
      | repetition             | outcome |
      | is accepted            | started |
      | is refused             | unknown |
      | finds no free capacity | unknown |
      | reaches no worker      | unknown |

  # A worker may execute an unanswered call seconds later, after newer calls, and never reports the pace
  # of a run. The run then stayed slow although its agent had raised the pace.
  Scenario: A pace that a late unanswered call may replace is sent again
    Given an agent that slows down a batch run beside a service
    When a change of pace is not answered and the next one is
    Then the pace is sent again each second for 13 seconds, and not later

  # Each of eleven entries sent its copy of 1,876 routes at the same time, which filled links of
  # 10 Mbit/s for seconds. Meanwhile an entry refused calls with 404, as its older version of the
  # configuration said.
  Scenario: An entry that is behind copies the configuration from one other entry at a time
    Given an entry with version 3 of the configuration
    When 11 other entries announce version 5 to it at the same time
    Then 1 copy is made and the entry has version 5
    When another entry sends version 4
    Then the entry has version 5

  Scenario: A copy of the configuration that fails is made from the next entry
    Given an entry with version 3 of the configuration
    When an entry that announces version 5 to it does not answer
    And 11 other entries announce version 5 to it at the same time
    Then 1 copy is made and the entry has version 5

  # The copy of an entry whose connection had gone silent held up the copies of all others for 3 s, longer
  # than the two seconds that a change may take.
  Scenario: A copy of the configuration that does not arrive is made from the next entry
    Given an entry with version 3 of the configuration
    When an entry that announces version 5 to it sends its copy after 2.5 seconds
    And 11 other entries announce version 5 to it each 0.5 seconds
    Then the entry has version 5 within 2.0 seconds
    And at most 2 copies are on their way at the same time

  # While the store reset its connections, every submission waited three seconds for a write that was
  # never answered.
  Scenario: Submissions are refused at once while the store is known to be unavailable
    Given an entry whose store answers no write
    When 3 writes were not answered
    Then the next submission is refused within 0.1 seconds and nothing was written
    And after 0.3 seconds one submission tries the store again

  Scenario: A caller learns soon that the outcome of its submission is not known
    Given an entry whose store answers no write
    When a job is submitted with a deadline of 3.0 seconds
    Then its outcome is not known, and the caller gets this answer within 2.0 seconds

  Scenario: Answers that are lost one at a time do not open the circuit breaker
    Given an entry whose store answers no write
    When 2 writes were not answered and one is
    And 2 writes were not answered
    Then the next submission tries the store
