"""Waits on conditions inside the test's process."""

import gevent

WAIT_SECONDS = 10.0
POLL_SECONDS = 0.005


def wait_for(condition, what="the condition is met"):
    """Wait until `condition` returns something true, and return it."""
    with gevent.Timeout(WAIT_SECONDS, AssertionError(f"not in time: {what}")):
        while True:
            value = condition()
            if value:
                return value
            gevent.sleep(POLL_SECONDS)
