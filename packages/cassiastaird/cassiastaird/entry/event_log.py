"""Structured log lines on standard output, bounded and never blocking."""

import sys
import time
import traceback
import zlib

import orjson
from cassiastair.clock import Clock
from cassiastair.forwarding import DecisionLog
from eventlet import patcher

os = patcher.original("os")  # the library's own write waits for a full pipe

SAMPLE = 32  # one request in so many has all its lines kept
LINES_PER_S = 200  # lines a second, about 50 KB
BURST = 400


class EventLog(DecisionLog):
    """One JSON object a line; lines that do not fit are counted.

    A request is kept or not by a hash of its identity, so that a kept request has
    all its lines, on every VM. Failures, refusals and changes of belief are always
    written, up to a number of lines a second. A full pipe drops lines.

    Parameters
    ----------
    vm : str
        Name of the VM.
    clock : Clock
        Source of time.
    """

    def __init__(self, vm: str, clock: Clock):
        self._vm = vm
        self._clock = clock
        self._fd = sys.stdout.fileno()
        os.set_blocking(self._fd, False)
        self._allowance = float(BURST)
        self._filled_at = clock.now()
        self._rest = b""
        self.dropped = 0

    def follows(self, request: str) -> bool:
        """Tell whether the lines of a request are kept."""
        return zlib.crc32(request.encode()) % SAMPLE == 0

    def record_sampled(self, event: str, request: str, **inputs: object) -> None:
        """Record a decision of a sampled request."""
        if self.follows(request):
            self._write(event, request, inputs)

    def warn(self, event: str, request: str, **inputs: object) -> None:
        """Record a failure, a refusal or a change of belief."""
        if inputs.pop("trace", False):
            inputs["trace"] = traceback.format_exc(limit=-6)
        self._write(event, request, inputs)

    def _write(self, event: str, request: str, inputs: dict) -> None:
        """Write a line if the bound allows it."""
        now = self._clock.now()
        elapsed = now - self._filled_at
        self._filled_at = now
        self._allowance = min(BURST, self._allowance + elapsed * LINES_PER_S)
        if self._allowance < 1.0:
            self.dropped += 1
            return
        self._allowance -= 1.0
        line = {"time": round(time.time(), 3), "vm": self._vm, "event": event}
        if request:
            line["request"] = request
        line.update(inputs)
        if self.dropped:
            line["dropped"] = self.dropped
        self._emit(orjson.dumps(line, default=str) + b"\n")

    def _emit(self, line: bytes) -> None:
        """Write bytes; keep the rest of a line that was cut, drop one that waits."""
        try:
            if self._rest:
                self._rest = self._rest[os.write(self._fd, self._rest) :]
            if self._rest:
                self.dropped += 1
                return
            self._rest = line[os.write(self._fd, line) :]
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            self.dropped += 1  # nobody reads the log any more
