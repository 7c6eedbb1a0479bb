"""Virtual time: eventlet tasks run in order, and pauses take no time.

Tests of timing get the same verdict on any machine, however busy it is.
"""

from collections.abc import Callable
from functools import wraps

from eventlet import hubs, patcher
from eventlet.hubs.hub import BaseHub

from ..clock import ManualClock

TIE_BREAK_S = 1e-9  # eventlet orders equal timers by address; no two may be equal

threading = patcher.original("threading")


class VirtualHub(BaseHub):
    """Event loop that moves its clock to the next timer instead of waiting."""

    clock_source: ManualClock

    def __init__(self):
        super().__init__(clock=self.clock_source.now)

    @staticmethod
    def is_available() -> bool:
        """Tell that the hub runs everywhere."""
        return True

    def add_timer(self, timer):
        """Add a timer behind all others of the same time."""
        self.clock_source.advance(TIE_BREAK_S)
        return super().add_timer(timer)

    def wait(self, seconds: float | None = None) -> None:
        """Move the clock forward."""
        if seconds:
            self.clock_source.advance(seconds)


def run_in_virtual_time(test: Callable[[ManualClock], object]) -> object:
    """Run a function whose tasks see virtual time; return what it returns.

    Parameters
    ----------
    test : callable
        Called with the clock, in a thread of its own.
    """
    outcome: list = []

    def run() -> None:
        """Run the function on a virtual hub."""
        clock = ManualClock()
        hub = type("Hub", (VirtualHub,), {"clock_source": clock})
        hubs.use_hub(hub)
        try:
            outcome.append((test(clock), None))
        except BaseException as error:
            outcome.append((None, error))

    thread = threading.Thread(target=run)
    thread.start()
    thread.join()
    result, error = outcome[0]
    if error is not None:
        raise error
    return result


def in_virtual_time(test: Callable) -> Callable:
    """Decorate a test method so that it runs in virtual time and gets the clock."""

    @wraps(test)
    def run(case) -> None:
        """Run the test."""
        run_in_virtual_time(lambda clock: test(case, clock))

    return run
