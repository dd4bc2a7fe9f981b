Feature: Services and batch tasks that share a worker

  Scenario Outline: The pace falls and rises with the tail latency of a service
    Given a service with a latency target of 18 ms beside batch tasks
    When the tail latency is <tail> ms for <seconds> seconds
    Then the pace is between <low> and <high> percent

    Examples:
      | tail | seconds | low | high |
      | 8    | 3.0     | 100 | 100  |
      | 17   | 0.5     | 45  | 45   |
      | 30   | 2.0     | 0   | 0    |

  # A target that is exceeded for four seconds beside batch tasks at work breaks a promise of the
  # platform.
  Scenario: The pace reaches zero well within four seconds and recovers slowly
    Given a service with a latency target of 18 ms beside batch tasks
    When the tail latency is 40 ms for 2.0 seconds
    Then the pace is between 0 and 0 percent
    When the tail latency is 6 ms for 3.5 seconds
    Then the pace is between 30 and 60 percent

  Scenario: Full speed is the baseline
    Given the baseline pacer and a service
    When the tail latency is 40 ms for 2.0 seconds
    Then the pace is between 100 and 100 percent

  # The measurements were recorded over 46 s on 16 workers of a deployment whose services' load swings.
  # A model of the tail latencies without that swing took it for interference of batch images.
  Scenario: Interfering pairs of images are distinguished from the others
    Given the recorded measurements of shared workers
    When the model learns from them
    Then the interfering pairs take more than 0.14 headroom per core
    And the non-interfering pairs take at most 0.14 headroom per core

  # Half of the batch tasks beside services were slowed down, though most of them disturbed nobody.
  Scenario: Interference is told from the swing of the services' load
    Given services whose load swings and batch jobs on shared workers
    When the owner learns from 27 seconds of their measurements
    Then at least 95 percent of the pairs that it knows are known correctly

  # Paces that followed the tail latency were lowered after a target was exceeded, and then to nothing.
  Scenario: Paces by headroom keep services below their targets and let batch jobs complete
    Given services whose load swings and batch jobs on shared workers
    When the owner learns from 27 seconds of their measurements
    Then services exceed their targets for less than 100 percent of the time with the pacer by tail latency
    And more batch jobs complete than with the pacer by tail latency
    And services exceed their targets for less than 20 percent of the time with full speed

  # With many images on one worker, hardly any batch image disturbs none of them.
  Scenario: Services of one image share a worker
    Given workers with services of the images watch and mail
    Then a service task of image "watch" starts on the worker of that image

  # Each of the tasks alone disturbed nobody, but together they pushed the service over its target.
  Scenario: Batch tasks that take little headroom each do not take it all together
    Given a worker with a service and capacity for batch tasks
    And image "print" is known to take 0.06 headroom per core from the service
    When the tail latency of the service is at 60 percent of its target
    Then only 2 of 6 batch tasks of image "print" start

  # After a takeover every pair was unknown, so batch tasks started beside services one at a time.
  Scenario: A new owner knows the pairs of images that its predecessor learned
    Given the recorded measurements of shared workers
    When the model learns from them
    And a new owner reads what its predecessor stored
    Then the new owner knows each pair as well as its predecessor

  Scenario: A stored interference model that cannot be read is refused
    Then stored models of another layout are refused as invalid input
    And an owner that finds one begins without known pairs

  Scenario: A non-interfering batch task starts beside services at once
    Given a worker with a service and capacity for batch tasks
    And image "print" is known to take 0.0 headroom per core from the service
    When another batch task started a moment ago
    Then 3 batch tasks of image "print" start at once

  Scenario: A batch task that would push a service over its latency target waits
    Given a worker with a service and capacity for batch tasks
    And image "print" is known to take 0.8 headroom per core from the service
    When the service is far below its latency target
    Then no batch task of image "print" starts

  Scenario: Non-interfering batch tasks leave the worker without services to the others
    Given a worker with a service and capacity for batch tasks
    And image "print" is known to take 0.0 headroom per core from the service
    And a worker without services
    Then 2 batch tasks of image "print" start beside the service
    And a batch task of image "other" starts on the worker without services

  Scenario: Only interfering batch tasks are slowed down near the latency target of a service
    Given a service with a latency target of 18 ms beside an interfering and a non-interfering task
    When the tail latency is 17 ms for 1.0 seconds
    Then the non-interfering task works at 100 percent and the other at less than 50

  # What was learned of a pair may no longer hold. A target may be exceeded for four seconds at most.
  Scenario: Non-interfering tasks are paused for a trial if the target is exceeded while the others are paused
    Given a service with a latency target of 18 ms beside an interfering and a non-interfering task
    When the tail latency is 40 ms for 3.2 seconds
    Then both tasks are paused

  # All batch tasks beside a service that was near its latency target by its own load stayed paused.
  Scenario: A non-interfering task is resumed if pausing it does not help
    Given a service with a latency target of 18 ms beside an interfering and a non-interfering task
    When the tail latency is 40 ms for 4.5 seconds
    Then the non-interfering task works at 100 percent and the other at less than 50

  # A target that is exceeded for four seconds on end beside tasks at work breaks a promise of the
  # platform.
  Scenario: Tasks that are resumed by mistake never work for four seconds while the target is exceeded
    Given a service with a latency target of 18 ms beside an interfering and a non-interfering task
    When the tail latency is 40 ms for 30.0 seconds
    Then the non-interfering task was paused at least every 3.3 seconds

  Scenario: The pace rises while a service is near its latency target without interfering tasks
    Given a service with a latency target of 18 ms beside an interfering and a non-interfering task
    When the tail latency is 40 ms for 1.0 seconds
    And the interfering task has moved and the tail latency is 14 ms for 8.0 seconds
    Then the next interfering task may work at 100 percent

  Scenario: The agent gets what the owner knows of the batch tasks on its worker
    Given a worker with a service and capacity for batch tasks
    And image "print" is known to take 0.3 headroom per core from the service
    And a batch task of image "print" and one of an unknown image run on the worker
    When the owner's grant reaches the agent
    Then the agent knows that the first task takes 0.9 headroom and nothing of the second

  # A paused task kept tasks that disturb nobody from the cores that it did not use.
  Scenario: Cores that a paused task does not use are given to tasks that do not interfere
    Given a worker with a service and capacity for batch tasks
    And image "print" is known to take 0.0 headroom per core from the service
    And batch tasks that interfere take all leftover cores of the worker
    When the interfering tasks are paused
    Then 2 batch tasks of image "quiet" start beside the service

  Scenario Outline: A batch task <outcome> beside a service when <case>
    Given a worker with a service and capacity for batch tasks
    When <case>
    Then a batch task <outcome>

    Examples:
      | case                                        | outcome        |
      | the service is far below its latency target | starts         |
      | the service is near its latency target      | does not start |
      | the pace was lowered                        | does not start |
      | another batch task started a moment ago     | does not start |

  Scenario: A slowed run moves to a worker without services
    Given a slowed batch run that saves its progress and a worker without services
    When the scheduler plans
    Then the run is stopped to move
    And without free capacity elsewhere it would stay

  # All waiting tasks counted as taking the capacity first, so under load no slowed run ever moved. The
  # slowest of 20 tasks took 14.6 s where half of them took 5.4 s.
  Scenario Outline: A slowed run <outcome> while tasks that go <order> it wait for all the capacity
    Given a slowed batch run that saves its progress and a worker without services
    And 9 batch tasks of <seconds> seconds wait for the worker without services
    When the scheduler plans
    Then the slowed run <outcome>

    Examples:
      | order  | seconds | outcome |
      | after  | 100.0   | moves   |
      | before | 1.0     | stays   |

  # The tail latency of a service falls over two seconds. Interfering tasks that were paused for less were
  # resumed, and the target was exceeded beside them for 4.5 s.
  Scenario: A non-interfering task that turns out to interfere is slowed down until it ends
    Given a service with a latency target of 18 ms beside an interfering and a non-interfering task
    When the interfering task has moved and the tail latency is 200 ms for 1.2 seconds
    And the tail latency is 60 ms for 1.1 seconds
    And the tail latency is 8 ms for 0.7 seconds
    Then the task counts as interfering and is slowed down
