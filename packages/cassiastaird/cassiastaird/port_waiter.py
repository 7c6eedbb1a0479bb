"""Opening of listeners on ports that the previous process may still hold.

A process that drains holds its ports until it ends. One that is started meanwhile waits
for them, instead of ending while nothing starts it again.
"""

import errno
from collections.abc import Callable
from typing import TypeVar

RETRY_INTERVAL_S = 0.1
PORT_WAIT_MARGIN_S = 2.0  # beyond the time that the previous process has for its stop

Listener = TypeVar("Listener")


class PortWaiter:
    """Opens listeners, and waits while their ports are in use.

    Parameters
    ----------
    sleep : callable
        Waits for a number of seconds; may raise an exception to give up.
    timeout_s : float
        Seconds of waiting, for all ports together, after which a port that is in use
        is an error. Time for which the machine does not run is not counted, since the
        process that holds the port does not run then either.
    log_event : callable
        Logs an event, given its name and fields.
    """

    def __init__(
        self,
        sleep: Callable[[float], None],
        timeout_s: float,
        log_event: Callable[..., None],
    ):
        self._sleep = sleep
        self._left_s = timeout_s
        self._log_event = log_event

    def open(
        self, make: Callable[[str, int], Listener], host: str, port: int
    ) -> Listener:
        """Return the listener on an address once its port is free.

        Parameters
        ----------
        make : callable
            Opens the listener, given its host and port.
        host : str
            IP address.
        port : int
            TCP port.

        Raises
        ------
        OSError
            If the listener cannot be opened for another reason, or the port is still
            in use at the end of the timeout.
        """
        waiting = False
        while True:
            try:
                return make(host, port)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                if self._left_s <= 0:
                    raise
                if not waiting:
                    self._log_event("waiting for port", host=host, port=port)
                waiting = True
            self._sleep(RETRY_INTERVAL_S)
            self._left_s -= RETRY_INTERVAL_S
