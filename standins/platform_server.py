"""A stand-in for the platform's configuration service, with faults to switch on.

It stores values by key and numbers each change with a revision. Readers page through
the changes after a revision, or wait for the next one (long polling).
"""

import time
from collections import Counter
from urllib.parse import parse_qs, urlsplit

import eventlet
from eventlet.event import Event

from .raw_http import RawRequest, RequestReader, format_reply
from .two_ports import TwoPortServer

MAX_VALUE_BYTES = 1_000_000
MAX_PAGE_BYTES = 1_000_000
MAX_CALLS_PER_SECOND = 2000
MAX_WAIT_S = 30.0


class PlatformServer:
    """Serves reads and watches on one port, and control requests on another.

    The control port publishes values and switches faults: `down` closes connections
    without an answer, `frozen` delays answers until it is switched off, and
    `stale_at` hides all values with a newer revision.

    Parameters
    ----------
    host : str
        Loopback address to listen on.
    port : int
        TCP port of reads and watches; 0 lets the system choose.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0):
        self._values: dict[str, tuple[int, str]] = {}
        self.revision = 0
        self.era = 0
        self.counts: Counter = Counter()
        self._calls_by_second: Counter = Counter()
        self._published = Event()
        self.down = False
        self.frozen = False
        self.stale_at: int | None = None
        self._ports = TwoPortServer(
            lambda sock: serve_connection(sock, self._handle_request),
            lambda sock: serve_connection(sock, self._handle_control),
            host,
            port,
        )
        self.port = self._ports.port
        self.control_port = self._ports.control_port

    def start(self) -> None:
        """Start accepting connections, without blocking."""
        self._ports.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._ports.stop()

    def publish(self, key: str, value: str) -> int:
        """Publish a value and return its revision.

        Raises
        ------
        ValueError
            If the value is larger than `MAX_VALUE_BYTES`.
        """
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise ValueError(f"a value has at most {MAX_VALUE_BYTES} bytes")
        self.revision += 1
        self._values[key] = (self.revision, value)
        published, self._published = self._published, Event()
        published.send(None)
        return self.revision

    def take_copy(self) -> tuple[dict[str, tuple[int, str]], int]:
        """Return the values and the revision, for `restore`."""
        return dict(self._values), self.revision

    def restore(self, copy: tuple[dict[str, tuple[int, str]], int]) -> None:
        """Come back from a copy, in the next era."""
        values, self.revision = copy
        self._values = dict(values)
        self.era += 1

    def _handle_request(self, request: RawRequest) -> bytes | None:
        """Return the reply to a read or watch; None closes the connection."""
        if self.down:
            return None
        self._count_call()
        while self.frozen:
            eventlet.sleep(0.05)
        if self._calls_by_second[int(time.monotonic())] > MAX_CALLS_PER_SECOND:
            return format_reply(429, {"error": "too many calls"})
        parts = urlsplit(request.path)
        if parts.path != "/v1/watch":
            return format_reply(404, {"error": "no such path"})
        query = parse_qs(parts.query)
        after = int(query["after"][0])
        wait = min(float(query.get("wait", ["0"])[0]), MAX_WAIT_S)
        return self._watch(after, wait)

    def _count_call(self) -> None:
        """Count a call in the total and in the current second."""
        self.counts["calls"] += 1
        second = int(time.monotonic())
        self._calls_by_second[second] += 1
        highest = max(self.counts["calls_highest"], self._calls_by_second[second])
        self.counts["calls_highest"] = highest

    def _watch(self, after: int, wait: float) -> bytes | None:
        """Return the reply with the values after a revision.

        If there are none, wait up to `wait` seconds for the next one.
        """
        if after >= self._visible_revision() and wait > 0:
            with eventlet.Timeout(wait, False):
                while after >= self._visible_revision():
                    self._published.wait()
        if self.down:
            return None
        return format_reply(200, self._make_page(after))

    def _visible_revision(self) -> int:
        """Return the latest revision that readers may see."""
        return self.revision if self.stale_at is None else self.stale_at

    def _make_page(self, after: int) -> dict:
        """Return the first page of values after a revision.

        A page has at most `MAX_PAGE_BYTES` of values, but at least one value.
        """
        visible = self._visible_revision()
        rows = sorted(
            (revision, key, value)
            for key, (revision, value) in self._values.items()
            if after < revision <= visible
        )
        entries = []
        size = 0
        for revision, key, value in rows:
            size += len(value)
            if entries and size > MAX_PAGE_BYTES:
                last = entries[-1]["revision"]
                return self._describe_page(last, entries, True)
            entries.append({"key": key, "revision": revision, "value": value})
        return self._describe_page(visible, entries, False)

    def _describe_page(self, revision: int, entries: list, more: bool) -> dict:
        """Return the document of a page."""
        page = {"revision": revision, "entries": entries, "more": more}
        return page | {"era": self.era}

    def _handle_control(self, request: RawRequest) -> bytes:
        """Publish a value or switch faults, and return the revision and the counts."""
        body = request.json()
        if "key" in body:
            try:
                self.publish(body["key"], body["value"])
            except ValueError as error:
                return format_reply(413, {"error": str(error)})
        for name in ("down", "frozen", "stale_at"):
            if name in body:
                setattr(self, name, body[name])
        document = {"revision": self.revision, "counts": dict(self.counts)}
        return format_reply(200, document)


def serve_connection(sock, handle_request) -> None:
    """Serve the requests of one connection in order.

    A handler that returns None closes the connection.
    """
    reader = RequestReader(sock)
    while (request := reader.read()) is not None:
        reply = handle_request(request)
        if reply is None:
            return
        sock.sendall(reply)
