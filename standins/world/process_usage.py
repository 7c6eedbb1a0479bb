"""Memory and descriptors of a process, read from the kernel."""

import os
from pathlib import Path

import eventlet

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SAMPLE_INTERVAL_S = 0.05
LISTEN_STATE = "0A"  # of a socket in /proc/net/tcp
SOCKET_LINK = "socket:["


class ProcessUsage:
    """Peak memory and descriptors of a process while it is watched.

    The memory is what is resident, and what the kernel has received for the process
    and it has not read.

    Parameters
    ----------
    pid : int
        The process.
    address : (str, int)
        Address that the process listens on. Its connections count also before the
        process has accepted them.

    Attributes
    ----------
    peak_bytes : int
        Largest memory that was seen, in bytes.
    peak_unread_bytes : int
        Largest part of it that was received and not read.
    peak_descriptors : int
        Largest number of open descriptors that was seen.
    """

    def __init__(self, pid: int, address: tuple[str, int]):
        self._pid = pid
        self._address = encode_address(address)
        self.peak_bytes = 0
        self.peak_unread_bytes = 0
        self.peak_descriptors = 0
        self._task = eventlet.spawn(self._sample)

    def stop(self) -> None:
        """Stop watching."""
        self._task.kill()

    def _sample(self) -> None:
        """Keep the peaks until the process ends."""
        while True:
            try:
                self.observe()
            except (FileNotFoundError, ProcessLookupError):
                return  # the process has ended
            eventlet.sleep(SAMPLE_INTERVAL_S)

    def observe(self) -> int:
        """Read the process once and return its memory in bytes."""
        inodes = self._read_descriptors()
        statm = Path(f"/proc/{self._pid}/statm").read_text()
        unread = self._read_unread(inodes)
        total = int(statm.split()[1]) * PAGE_BYTES + unread
        self.peak_bytes = max(self.peak_bytes, total)
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        return total

    def _read_descriptors(self) -> set[str]:
        """Count the descriptors; return the inodes of those that are sockets."""
        folder = f"/proc/{self._pid}/fd"
        names = os.listdir(folder)
        self.peak_descriptors = max(self.peak_descriptors, len(names))
        inodes = set()
        for name in names:
            try:
                link = os.readlink(f"{folder}/{name}")
            except FileNotFoundError:
                continue  # closed meanwhile
            if link.startswith(SOCKET_LINK):
                inodes.add(link[len(SOCKET_LINK) : -1])
        return inodes

    def _read_unread(self, inodes: set[str]) -> int:
        """Return the bytes that lie unread in the sockets of the process."""
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[3] == LISTEN_STATE:
                continue
            if fields[1] == self._address or fields[9] in inodes:
                unread += int(fields[4].partition(":")[2], 16)
        return unread


def encode_address(address: tuple[str, int]) -> str:
    """Return an IPv4 address in the form of /proc/net/tcp."""
    parts = [int(part) for part in address[0].split(".")]
    host = "".join(f"{part:02X}" for part in reversed(parts))
    return f"{host}:{address[1]:04X}"
