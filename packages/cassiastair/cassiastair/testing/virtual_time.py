"""Virtual time for eventlet tasks: sleeping advances a clock instead of waiting.

Timers fire in a fixed order, so tests of timing have the same result on any machine,
however busy it is.
"""

from collections.abc import Callable
from functools import wraps

from eventlet import hubs, patcher
from eventlet.hubs.hub import BaseHub

from ..clock import ManualClock

# Eventlet orders timers of equal times by memory address. The clock advances by this
# with each new timer, so that no two times are equal and the order is reproducible.
TIE_BREAK_S = 1e-9

threading = patcher.original("threading")


class VirtualHub(BaseHub):
    """Event loop that advances its clock to the next timer instead of waiting."""

    clock_source: ManualClock

    def __init__(self):
        super().__init__(clock=self.clock_source.now)

    @staticmethod
    def is_available() -> bool:
        """Return True; the hub needs no support by the operating system."""
        return True

    def add_timer(self, timer):
        """Add a timer that fires after all earlier timers of the same time."""
        self.clock_source.advance(TIE_BREAK_S)
        return super().add_timer(timer)

    def wait(self, seconds: float | None = None) -> None:
        """Advance the clock by the time to wait, and return at once."""
        if seconds:
            self.clock_source.advance(seconds)


def run_in_virtual_time(test: Callable[[ManualClock], object]) -> object:
    """Run a function in virtual time and return its result.

    The function runs in a thread of its own, since eventlet has one event loop per
    thread. An exception of the function is raised again.

    Parameters
    ----------
    test : callable
        Function to run; it is called with the virtual clock.
    """
    outcome: list = []

    def run() -> None:
        """Run the function on a virtual hub and keep its result or exception."""
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
    """Decorate a test method to run in virtual time with the clock as its argument."""

    @wraps(test)
    def run(case) -> None:
        """Run the test method in virtual time."""
        run_in_virtual_time(lambda clock: test(case, clock))

    return run
