"""Turns in which connections parse bodies that cost much processor time.

A body in chunks of a few bytes costs hundreds of times as much as one in a single
chunk. Many of them at once would keep all other tasks waiting, since the event loop
runs each connection with received bytes before it runs any task again.
"""

import eventlet
from eventlet.semaphore import Semaphore


class ParsingTurns:
    """Lets one connection at a time parse a part of a costly body.

    Connections take turns in the order in which they asked, at most one in each pass
    of the event loop. Other connections need no turn.
    """

    def __init__(self):
        self._semaphore = Semaphore(1)

    def wait(self) -> None:
        """Wait for a turn, which ends when the task next waits."""
        with self._semaphore:
            eventlet.sleep(0)
