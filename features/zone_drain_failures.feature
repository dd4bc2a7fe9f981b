Feature: Drained zones while an owner, a link or the store fails

  # Guards against starts that are paused although the requests are read through another entry.
  Scenario: Starts go on while the requests are read through another entry
    Given an owner whose calls to the store get no answer, beside an entry that reaches it
    When it follows the requests with a bound of 5 seconds for 8 seconds
    Then starts were not paused

  # Guards against starts in a drained zone by an owner that reaches nobody.
  Scenario: An entry that does not answer does not show an outage
    Given an owner whose calls to the store and to another entry get no answer
    When it follows the requests with a bound of 1 seconds for 2 seconds
    Then starts were paused at the end

  # Guards against taking any refusal by another entry for proof of an outage.
  Scenario: An entry that does not know the call does not show an outage
    Given an owner whose calls to the store get no answer, beside an entry that does not know the call
    When it follows the requests with a bound of 1 seconds for 2 seconds
    Then starts were paused at the end

  Scenario: An entry that does not reach the store either shows an outage
    Given an owner whose calls to the store get no answer, beside an entry that the store refuses
    When it follows the requests with a bound of 1 seconds for 4 seconds
    Then starts were not paused at the end

  # Guards against a moved copy, which is dropped by its stop, that keeps others from moving.
  Scenario: A run beside a copy of its task stays in a drained zone
    Given a run in zone-b of two zones of 2 workers each, with a copy in zone-a
    When zone-b is drained for 3 seconds
    Then the run stays because of has_copy

  # Guards against runs that stay in a drained zone for good.
  Scenario: A task that can never start does not keep the runs of its service in a drained zone
    Given two zones of 2 workers each with 4 continuous tasks without a limit in zone-b
    And a task waits for a worker with a label that none has
    When zone-b is drained for 20 seconds
    Then the run continues in zone-a with its progress

  # Guards against two absences by the stops of two owners, of which the first is still on its way.
  Scenario: A new owner stops no task of a step while a stop of the former owner may be on its way
    Given a new owner of 4 continuous tasks in zone-b, one of which the former owner is moving
    When the stop of the former owner takes effect 0.4 seconds after the first report
    Then at most 1 task is absent
