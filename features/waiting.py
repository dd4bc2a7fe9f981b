"""Waiting for conditions in the process of the test, and errors that fail it."""

import gevent

WAIT_SECONDS = 10.0
POLL_SECONDS = 0.005


def wait_for(condition, what="the condition is met", seconds=WAIT_SECONDS):
    """Call `condition` until it returns a true value, and return that value.

    Raises an AssertionError that names `what` after `seconds`.
    """
    with gevent.Timeout(seconds, AssertionError(f"timed out waiting for: {what}")):
        while True:
            value = condition()
            if value:
                return value
            gevent.sleep(POLL_SECONDS)


def raise_error(error):
    """Raise the error of a value that must not be ignored."""
    raise error
