Feature: Signals during the start of a daemon

  # A SIGHUP that came while the modules were loaded ended the daemon, since its handler was installed later.
  Scenario Outline: SIGHUP does not end the <daemon> while it is being loaded
    Given the <daemon> has begun to load its modules
    When it receives SIGHUP
    Then it goes on and reports the missing settings file

    Examples:
      | daemon |
      | entry  |
      | agent  |
