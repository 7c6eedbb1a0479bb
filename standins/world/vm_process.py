"""One process of a VM as seen from outside: signals, memory, status and last lines."""

import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median

import eventlet

BYTES_PER_KIB = 1024
LOG_TAIL_BYTES = 1500  # of the log that the report of an end includes
POLL_INTERVAL_S = 0.002
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
START_SPREAD = 1.2  # ratio by which the starts of two equal programs may differ
MEASURE_COUNT = 5  # programs that measure how early a signal can be handled
# Python raises KeyboardInterrupt in its own start, also before the program begins.
STATUS_BY_SIGNAL = {signal.SIGINT: 1}
LAST_EVENT = '"event":"process ended"'  # in the last line of a log
NS_PER_S = 1_000_000_000
# Sets its handler in the first instruction, as early as any program can.
EARLIEST_HANDLER = (
    "import signal, time;"
    "signal.signal(signal.SIGHUP, lambda *a: None); print(time.process_time())"
)


@dataclass(frozen=True, slots=True)
class SentSignal:
    """A signal that was sent to a process.

    Parameters
    ----------
    number : int
        Number of the signal.
    age_s : float
        Seconds from the start of the process to the signal.
    processor_s : float
        Processor time in seconds that the process had taken by then, which unlike its
        age hardly depends on the load of the machine.
    was_handled : bool
        Whether the process caught, blocked or ignored SIGHUP at that time.
    """

    number: int
    age_s: float
    processor_s: float
    was_handled: bool


@dataclass(slots=True)
class VmProcess:
    """A process of a VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    popen : subprocess.Popen
        The process.
    log_path : Path
        File with its output.
    started_at : float
        Time of its start in seconds.
    signals : list of SentSignal
        Signals that were sent to it, oldest first.
    peak_bytes : int
        Largest resident memory that was read.
    log_end : str
        Last lines of its log; empty while it runs.
    """

    vm: str
    popen: subprocess.Popen
    log_path: Path
    started_at: float
    signals: list[SentSignal] = field(default_factory=list)
    peak_bytes: int = 0
    log_end: str = ""

    @property
    def was_asked_to_stop(self) -> bool:
        """Whether a signal asked the process to stop."""
        return any(sent.number in STOP_SIGNALS for sent in self.signals)

    def send(self, number: int) -> None:
        """Send a signal unless the process has ended."""
        if self.popen.poll() is not None:
            return
        age_s = time.monotonic() - self.started_at
        processor_s = read_processor_time(self.popen.pid)
        was_handled = handles_signal(self.popen.pid)
        self.signals.append(SentSignal(number, age_s, processor_s, was_handled))
        os.kill(self.popen.pid, number)

    def observe(self) -> None:
        """Read the memory, and the end of the log once the process has ended."""
        if self.popen.poll() is None:
            peak_kib = read_status(self.popen.pid).get("VmHWM", "0 kB").split()[0]
            self.peak_bytes = max(self.peak_bytes, int(peak_kib) * BYTES_PER_KIB)
        elif not self.log_end:
            has_log = self.log_path.exists()
            self.log_end = (read_end(self.log_path) if has_log else "") or "(none)"

    def find_own_end(self) -> str:
        """Return a description of an end that no signal explains, or an empty text.

        SIGKILL explains status -9; SIGTERM and SIGINT explain status 0 only.
        """
        self.observe()
        status = self.popen.returncode
        numbers = {sent.number for sent in self.signals}
        if status is None or (status == -signal.SIGKILL and signal.SIGKILL in numbers):
            return ""
        if status == 0 and self.was_asked_to_stop:
            return ""
        sent = [
            f"{signal.Signals(s.number).name} {s.age_s:.3f} s after the start, "
            f"{s.processor_s:.3f} s of processor time"
            f"{'' if s.was_handled else ' (not yet handled)'}"
            for s in self.signals
        ]
        return (
            f"{self.vm}: process {self.popen.pid} ended with status {status}; "
            f"signals: {', '.join(sent) or 'none'}; log: {self.log_end}"
        )

    def find_unlogged_end(self) -> str:
        """Return a line if the process exited and its log does not end with the cause.

        Ends by signals, and processes without a log, are left out.
        """
        self.observe()
        status = self.popen.returncode
        if status is None or status < 0 or not self.log_path.exists():
            return ""
        last_line = self.log_end.splitlines()[-1]
        if LAST_EVENT in last_line:
            return ""
        return (
            f"{self.vm}: process {self.popen.pid} exited with status {status}, "
            f"but its last line is {last_line}"
        )

    def was_ended_before_handlers(self, earliest_s: float) -> bool:
        """Return True if a signal ended it before any program could handle one.

        Parameters
        ----------
        earliest_s : float
            Processor time that a program of one instruction takes until it handles
            signals, see `measure_earliest_handler`.
        """
        return any(
            self.popen.returncode
            in (-sent.number, STATUS_BY_SIGNAL.get(sent.number, -sent.number))
            and not sent.was_handled
            and sent.processor_s <= START_SPREAD * earliest_s
            for sent in self.signals
        )


def read_status(pid: int) -> dict[str, str]:
    """Return the fields that the kernel shows of a process; none if it is gone."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except (FileNotFoundError, ProcessLookupError):
        return {}
    fields = (line.partition(":") for line in lines)
    return {name: value.strip() for name, _, value in fields}


def read_processor_time(pid: int) -> float:
    """Return the processor time in seconds that a process took; 0 if it is gone."""
    try:
        text = Path(f"/proc/{pid}/schedstat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return 0.0
    return int(text.split()[0]) / NS_PER_S


def handles_signal(pid: int) -> bool:
    """Return True if a process catches, blocks or ignores SIGHUP.

    Python itself catches SIGINT, so that SIGINT does not show the program's handlers.
    """
    status = read_status(pid)
    bit = 1 << (signal.SIGHUP - 1)
    masks = (status.get(name, "0") for name in ("SigBlk", "SigIgn", "SigCgt"))
    return any(int(mask, 16) & bit for mask in masks)


def wait_handled(popen: subprocess.Popen, started_at: float) -> float | None:
    """Wait until a process handles SIGHUP; return its age then, in seconds.

    Returns None if the process ends before.
    """
    while popen.poll() is None:
        if handles_signal(popen.pid):
            return time.monotonic() - started_at
        eventlet.sleep(POLL_INTERVAL_S)
    return None


def measure_earliest_handler() -> float:
    """Return the processor time in seconds that a program needs to handle SIGHUP.

    It is the median of programs whose first instruction sets the handler.
    """
    command = [sys.executable, "-c", EARLIEST_HANDLER]
    runs = (subprocess.check_output(command) for _ in range(MEASURE_COUNT))
    return median(float(output) for output in runs)


def read_end(path: Path) -> str:
    """Return the last lines of a file."""
    with path.open("rb") as file:
        file.seek(max(0, path.stat().st_size - LOG_TAIL_BYTES))
        return file.read().decode(errors="replace").strip()
