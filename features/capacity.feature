Feature: Pages of capacity

  Scenario: The pages match the measurements and the sizes
    When the capacity pages are generated from the stored measurements
    Then they equal the stored pages

  Scenario: No row of the capacity pages lacks its measurement
    When the capacity pages are generated from the stored measurements
    Then no row says that it is not measured

  Scenario: Every slope is measured at four sizes or more
    Then each stored slope has at least 4 sizes and its residual
    And a fit over 3 sizes is refused

  Scenario Outline: The first column says that <value> against <limit> <verdict>
    Then a row of <value> with the limit <limit> says "<verdict>"

    Examples:
      | value | limit | verdict           |
      | 99    | 100   | holds             |
      | 100   | 100   | holds             |
      | 250   | 100   | **exceeded 2.5x** |

  Scenario: The shards of two years ahead are within the bounds of a shard
    Then the running tasks, a day's jobs and the events of a commit fit into each shard
