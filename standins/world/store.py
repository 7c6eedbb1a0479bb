"""The platform's store: items with revisions, reads and watches, and its faults."""

import base64
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import eventlet
import orjson
from eventlet.event import Event
from eventlet.green import socket

from .http import Wire, write_message

PAGE_ITEMS = 50
FAULTS = ("busy", "reset", "silent", "many")


@dataclass(frozen=True, slots=True)
class Change:
    """One change of a key; no value if it was removed."""

    key: str
    revision: int
    value: bytes | None


class Store:
    """A store that listens on a port of its own.

    Attributes
    ----------
    faults : dict of str to str
        Fault for calls from an address; the key "" stands for all.
    delay : float
        Seconds before each answer.
    """

    def __init__(self, host: str = "127.0.0.1"):
        self._listener = eventlet.listen((host, 0))
        self.address = self._listener.getsockname()
        self.items: dict[str, Change] = {}
        self.history: list[Change] = []
        self.revision = 1
        self.kept_after = 0
        self.faults: dict[str, str] = {}
        self.delay = 0.0
        self.calls = 0
        self._changed = Event()
        self._acceptor = eventlet.spawn(self._accept)
        self._sockets: set = set()

    def stop(self) -> None:
        """Stop listening and end all connections."""
        self._acceptor.kill()
        self._listener.close()
        for sock in list(self._sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)  # its task sees the end and closes it
            except OSError:
                continue  # the reader has closed it already

    def put(self, key: str, value: object) -> int:
        """Write a JSON value, or bytes as they are; return the revision."""
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        return self._change(key, data)

    def remove(self, key: str) -> int:
        """Remove a key; return the revision."""
        return self._change(key, None)

    def _change(self, key: str, value: bytes | None) -> int:
        """Take a change and wake the watches."""
        self.revision += 1
        change = Change(key, self.revision, value)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = change
        self.history.append(change)
        changed, self._changed = self._changed, Event()
        changed.send(None)
        return self.revision

    def forget(self) -> None:
        """Drop the history."""
        self.kept_after = self.revision
        self.history.clear()

    def _accept(self) -> None:
        """Serve connections for as long as the process runs."""
        while True:
            sock, peer = self._listener.accept()
            eventlet.spawn_n(self._serve, sock, peer[0])

    def _serve(self, sock, peer: str) -> None:
        """Answer the calls on one connection."""
        wire = Wire(sock)
        self._sockets.add(sock)
        try:
            while (call := wire.read()) is not None:
                self.calls += 1
                fault = self.faults.get(peer) or self.faults.get("")
                if fault == "silent":
                    eventlet.sleep(3600)
                if fault == "reset":
                    return
                eventlet.sleep(self.delay)
                sock.sendall(self._refuse(fault) if fault else self._answer(call))
        except OSError:
            return  # the reader has left
        finally:
            self._sockets.discard(sock)
            sock.close()

    def _refuse(self, fault: str) -> bytes:
        """Return a refusal."""
        status = "429 Too Many Requests" if fault == "many" else "503 Busy"
        return write_message(f"HTTP/1.1 {status}", {})

    def _answer(self, call) -> bytes:
        """Return the answer to a call."""
        url = urlsplit(call.start[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/kv-range":
            return write_json(self._read_range(query))
        if url.path == "/-/kv-watch":
            return self._watch(query)
        return write_message("HTTP/1.1 404 Not Found", {})

    def _read_range(self, query: dict) -> dict:
        """Return a page of items."""
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [describe(self.items[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"items": page, "hasMore": more, "at": self.revision}

    def _watch(self, query: dict) -> bytes:
        """Wait for changes after a revision."""
        after = int(query["after"])
        if after < self.kept_after:
            return write_message("HTTP/1.1 410 Gone", {})
        prefix = query.get("prefix", "")
        with eventlet.Timeout(int(query["waitMs"]) / 1000, False):
            while not self._find_changes(after, prefix):
                self._changed.wait()
        if after < self.kept_after:
            return write_message("HTTP/1.1 410 Gone", {})
        events = [describe(change) for change in self._find_changes(after, prefix)]
        return write_json({"events": events, "at": self.revision})

    def _find_changes(self, after: int, prefix: str) -> list[Change]:
        """Return the changes after a revision."""
        return [
            change
            for change in self.history
            if change.revision > after and change.key.startswith(prefix)
        ]


def describe(change: Change) -> dict:
    """Return an item or a change as it goes over the wire."""
    if change.value is None:
        return {"key": change.key, "revision": change.revision, "deleted": True}
    value = base64.b64encode(change.value).decode()
    return {
        "key": change.key,
        "value": value,
        "revision": change.revision,
        "createdAt": change.revision,
        "leaseId": 0,
    }


def write_json(document: dict) -> bytes:
    """Return an answer with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return write_message("HTTP/1.1 200 OK", headers, orjson.dumps(document))
