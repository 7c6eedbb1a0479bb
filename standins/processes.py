"""Starts and stops the processes of a session, and no other ones."""

import os
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import orjson

ROOT = Path(__file__).resolve().parent.parent


@dataclass
class Process:
    """A process that is ready, since it has printed its first line.

    Parameters
    ----------
    name : str
        Name of the process in the session.
    popen : subprocess.Popen
        The running process.
    ready : dict
        The JSON object on its first line, such as its ports.
    log_path : Path
        File that holds what it writes to standard error.
    """

    name: str
    popen: subprocess.Popen
    ready: dict
    log_path: Path

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    def signal(self, signal_number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.popen.poll() is None:
            os.kill(self.pid, signal_number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout: float) -> int:
        """Send SIGTERM, wait up to `timeout` seconds and return the exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout)


class ProcessGroup:
    """All processes of a session, killed when the context ends.

    Parameters
    ----------
    folder : Path
        Folder for the logs of the processes (their standard error).
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._started: list[Process] = []
        folder.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, *command: str, **env: str) -> Process:
        """Start a Python module in a process and wait for its first line.

        Parameters
        ----------
        name : str
            Name of the process and of its log.
        *command : str
            The module and its arguments.
        **env : str
            Further environment variables.

        Raises
        ------
        RuntimeError
            If the process ends before it prints a line.
        """
        log_path = self._folder / f"{name}.log"
        with log_path.open("ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, **env},
                start_new_session=True,
            )
        process = Process(name, popen, {}, log_path)
        self._started.append(process)
        line = popen.stdout.readline()
        if not line:
            popen.wait()
            raise RuntimeError(f"{name} did not start: {log_path.read_text()[-2000:]}")
        process.ready = orjson.loads(line)
        return process

    def start_all(self, commands: list[tuple[str, ...]]) -> list[Process]:
        """Start several processes concurrently; each tuple is a name and a command."""
        with ThreadPoolExecutor(max_workers=12) as pool:
            return list(pool.map(lambda command: self.start(*command), commands))

    def stop_all(self) -> None:
        """Kill all processes that still run, suspended ones too."""
        for process in self._started:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self._started:
            process.popen.wait()
            process.popen.stdout.close()

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *error: object) -> None:
        self.stop_all()
