"""Structured log on standard output, rate-limited and non-blocking."""

import sys
import time
import traceback
import zlib

import orjson
from cassiastair.clock import Clock
from cassiastair.forwarding import DecisionLog
from eventlet import patcher

os = patcher.original("os")  # eventlet's own write would wait while the pipe is full
blocking_time = patcher.original("time")  # also usable without the event loop

SAMPLING_DIVISOR = 32  # one request in this many has its lines written
MAX_LINES_PER_S = 200  # about 50 KB per second
MAX_BURST_LINES = 400  # lines that may be written at once
STANDARD_OUTPUT = 1  # descriptor
LAST_LINE_TIMEOUT_S = 0.2  # time for the reader of the pipe to make room
LAST_LINE_POLL_S = 0.01


class EventLog(DecisionLog):
    """Writes one JSON object per line and counts the lines that it drops.

    Requests are sampled by a hash of their ID, so that every VM writes all lines of
    the same requests. Failures, refusals and state changes are always written, up to
    a rate limit. Lines are dropped while the pipe is full.

    Parameters
    ----------
    vm : str
        Name of the VM; empty while it is not known.
    clock : Clock
        Source of time.
    """

    def __init__(self, vm: str, clock: Clock):
        self.vm = vm
        self._clock = clock
        # Python has no stream for a descriptor that was closed at its start.
        self._fd = STANDARD_OUTPUT if sys.stdout is None else sys.stdout.fileno()
        os.set_blocking(self._fd, False)
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = clock.now()
        self._unsent = b""
        self.dropped = 0

    def is_sampled(self, request: str) -> bool:
        """Return True if the lines of a request are written."""
        return zlib.crc32(request.encode()) % SAMPLING_DIVISOR == 0

    def record_sampled(self, event: str, request: str, **fields: object) -> None:
        """Log a decision if its request is sampled."""
        if self.is_sampled(request):
            self._write(event, request, fields)

    def warn(self, event: str, request: str, **fields: object) -> None:
        """Log a failure, a refusal or a state change."""
        if fields.pop("trace", False):
            fields["trace"] = traceback.format_exc(limit=-6)
        self._write(event, request, fields)

    def _write(self, event: str, request: str, fields: dict) -> None:
        """Write a line if the rate limit allows it."""
        now = self._clock.now()
        elapsed = now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(MAX_BURST_LINES, self._tokens + elapsed * MAX_LINES_PER_S)
        if self._tokens < 1.0:
            self.dropped += 1
            return
        self._tokens -= 1.0
        self._emit(self._encode(event, request, fields))

    def _encode(self, event: str, request: str, fields: dict) -> bytes:
        """Return the line of an event."""
        line = {"time": round(time.time(), 3), "vm": self.vm, "event": event}
        if request:
            line["request"] = request
        line.update(fields)
        if self.dropped:
            line["dropped"] = self.dropped
        try:
            return orjson.dumps(line, default=str) + b"\n"
        except TypeError:  # a lone surrogate, or a number of more than 64 bits
            text = {name: ascii(value) for name, value in fields.items()}
            return orjson.dumps({"event": event, "vm": ascii(self.vm)} | text) + b"\n"

    def warn_last(self, event: str, **fields: object) -> None:
        """Log the event that ends the process, whatever the rate limit.

        Waits for a short time while the pipe is full. The event loop need not run.
        """
        if fields.pop("trace", False):
            fields["trace"] = traceback.format_exc(limit=-6)
        line = self._unsent + self._encode(event, "", fields)
        deadline = blocking_time.monotonic() + LAST_LINE_TIMEOUT_S
        while line and blocking_time.monotonic() < deadline:
            try:
                line = line[os.write(self._fd, line) :]
            except BlockingIOError:
                blocking_time.sleep(LAST_LINE_POLL_S)
            except OSError:
                return  # the reading end is closed

    def _emit(self, line: bytes) -> None:
        """Write a line without blocking.

        The rest of a partial write is sent before the next line. A line is dropped if
        the pipe is still full.
        """
        try:
            if self._unsent:
                self._unsent = self._unsent[os.write(self._fd, self._unsent) :]
            if self._unsent:
                self.dropped += 1
                return
            self._unsent = line[os.write(self._fd, line) :]
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            self.dropped += 1  # the reading end is closed
