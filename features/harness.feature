Feature: Experiment harness

  Scenario: Planned calls run in the order of time and blocking code waits on the fake clock
    Then calls planned at 3, 1, 2 and a task that sleeps 2.5 run in order

  Scenario Outline: Arrivals of <doubled> double at the stated second
    Then Poisson arrivals of two services with "<doubled>" doubled at 10 s of 20 s grow as stated

    Examples:
      | doubled |
      | a       |
      | a b     |

  Scenario: The same seed gives the same arrivals
    Then two plans of the same seed are equal and one of another seed differs

  Scenario: Percentiles agree with numpy within the histogram's three figures
    Then the percentiles of 20001 log-normal latencies agree with numpy

  Scenario: A slowdown shifts with load and is seen late
    Then a batch class stretches the service more under load and the measurement lags 5 s

  Scenario: A report has the median and the range over ten seeds
    Then an experiment that returns its seed reports "5.5 [1, 10]" in table and CSV

  Scenario Outline: The product's modules keep their promises in the harness with <fault>
    Then a system with "<fault>" contradicts no answer, stays in its budget and repeats exactly

    Examples:
      | fault      |
      | lost       |
      | unanswered |
      | gone       |
      | slow       |
      | overload   |

  Scenario: No address is handed out twice to the processes of one run
    Then 2000 free addresses of one run are all different
