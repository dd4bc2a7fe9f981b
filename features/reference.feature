Feature: Generated pages

  Scenario: The capacity pages match the measurement file
    When the capacity pages are generated
    Then they equal the pages in docs
