"""Signals that arrive before the daemon can act on them.

The imports of the daemon take most of a start. A signal in that time would end the
process, or raise KeyboardInterrupt in the middle of an import. This module therefore
imports only the standard library, and is imported before all others.
"""

import signal
from collections.abc import Callable

HELD_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


class SignalInbox:
    """Holds signals until there is a handler for them.

    Signals are received from the construction on, which must be in the main thread.
    """

    def __init__(self):
        self._held: set[int] = set()
        self._handlers: dict[int, Callable[[], None]] = {}
        for number in HELD_SIGNALS:
            signal.signal(number, self._receive)
        # A program may block them before its first import.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD_SIGNALS)

    def _receive(self, number: int, frame) -> None:
        """Call the handler of a signal, or hold the signal if there is none."""
        handler = self._handlers.get(number)
        if handler is None:
            self._held.add(number)
        else:
            handler()

    def set_handler(self, number: int, handler: Callable[[], None]) -> None:
        """Set the handler of a signal; call it at once if the signal is held.

        Parameters
        ----------
        number : int
            One of `HELD_SIGNALS`.
        handler : callable
            Called in the main thread between any two of its instructions.
        """
        self._handlers[number] = handler
        if number in self._held:
            self._held.discard(number)
            handler()
