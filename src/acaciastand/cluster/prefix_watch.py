"""Watch of the items below a prefix of the store that goes on across failures."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent

from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import (
    Changes,
    HistoryDropped,
    Item,
    Listing,
    TransactionalStore,
)

RETRY_SECONDS = 0.1  # Pause after a failed call to the store, or once history was dropped.

logger = logging.getLogger(__name__)


def follow_prefix(
    store: TransactionalStore,
    prefix: str,
    revision: int,
    wait_seconds: float,
    on_items: Callable[[list[Item]], None],
) -> None:
    """Call `on_items` with each change below a prefix until the greenlet is killed.

    It is called with all items again if the store has dropped the history of the changes.

    Parameters
    ----------
    prefix
        Prefix of the keys.
    revision
        Revision after which the changes are wanted.
    wait_seconds
        Longest time that one watch waits for a change.
    on_items
        Called with the items that were written.
    """
    must_list = False
    while True:
        try:
            if must_list:
                changes: Changes | Listing = store.list(prefix)
                logger.warning("history dropped; listed again", extra={"prefix": prefix})
            else:
                changes = store.watch(prefix, revision, wait_seconds)
        except HistoryDropped:
            must_list = True
            gevent.sleep(RETRY_SECONDS)
            continue
        except (StoreUnavailable, StoreAnswerLost):
            gevent.sleep(RETRY_SECONDS)
            continue
        must_list = False
        revision = changes.revision
        on_items(changes.items)
