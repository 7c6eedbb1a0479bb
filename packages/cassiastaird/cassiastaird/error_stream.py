"""Replacement of standard error that logs what is written and never fails.

Libraries print the tracebacks of failed tasks to standard error. The event loop prints
them itself and would end, and with it the process, if the print failed, for example
because the reader of a pipe has gone.
"""

import io
from collections.abc import Callable

MAX_TEXT_CHARACTERS = 4000  # of one event; the end of a traceback tells the most


class ErrorStream(io.TextIOBase):
    """Text stream that passes what is written between two flushes to a log.

    Parameters
    ----------
    log_text : callable
        Logs a text; must not raise an exception.
    """

    def __init__(self, log_text: Callable[[str], None]):
        self._log_text = log_text
        self._pending = ""

    def writable(self) -> bool:
        """Return True, as for every stream that can be written to."""
        return True

    def write(self, text: str) -> int:
        """Append to the pending text, of which only the end is kept."""
        self._pending = (self._pending + text)[-MAX_TEXT_CHARACTERS:]
        return len(text)

    def flush(self) -> None:
        """Log the pending text unless it is blank."""
        text, self._pending = self._pending.strip(), ""
        if text:
            self._log_text(text)
