"""Waiting in the main task, which an error of the event loop reaches."""

from collections.abc import Callable

from eventlet.event import Event

MAX_LOOP_ERRORS = 10  # in the life of a process


def wait_for_event(event: Event, report: Callable[[Exception], None]) -> None:
    """Wait for an event; let the event loop run again if an error ends it.

    The loop ends with an error of its own, not with one of a task, and starts again
    with the next wait.

    Parameters
    ----------
    event : Event
        Event to wait for.
    report : callable
        Logs an error that ended the loop, which is still being handled.

    Raises
    ------
    Exception
        The error that ends the loop for the MAX_LOOP_ERRORS-th time.
    """
    error_count = 0
    while True:
        try:
            event.wait()
            return
        except Exception as error:
            report(error)
            error_count += 1
            if error_count == MAX_LOOP_ERRORS:
                raise


def send_once(event: Event) -> None:
    """Send an event unless it has been sent already."""
    if not event.ready():
        event.send(None)
