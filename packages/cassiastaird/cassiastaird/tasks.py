"""Supervision of the tasks that run for as long as the process."""

from collections.abc import Callable

import eventlet

TASK_RESTART_S = 0.5  # pause before a task that an error ended is started again


def run_supervised(task: Callable, *args, report: Callable[[str, Exception], None]):
    """Run a task that must not end; report an error that ends it and start it again.

    Without the new start, one unexpected error would leave the VM without, for
    example, any further change of the store, although it still serves callers.

    Parameters
    ----------
    task : callable
        The task; it is over when it returns.
    *args
        Arguments of the task.
    report : callable
        Logs the name of the task and the error, which is still being handled.
    """
    while True:
        try:
            return task(*args)
        except Exception as error:
            report(task.__qualname__, error)
        eventlet.sleep(TASK_RESTART_S)
