Feature: Reference pages

  Scenario: The pages of errors, metrics and settings match the code
    When the reference pages are generated
    Then they equal the pages in docs

  Scenario: The exit codes in the page of the command line match the errors
    Then docs/CLI.md names each exit code of an error that the command line shows

  Scenario: Each metric that the code records has a description, and none is left over
    Then the described metrics are those in the code
