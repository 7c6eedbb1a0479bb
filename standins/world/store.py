"""Simulated key-value store of the platform, with range reads, watches and faults."""

import base64
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import eventlet
import orjson
from eventlet.event import Event
from eventlet.green import socket

from .http_messages import MessageReader, encode_message, send_without_end

PAGE_SIZE = 50  # items in one answer of a range read
# Values of `Store.faults`: status 503, closed connection, no answer, status 429, half
# of an answer, an answer without end.
FAULTS = ("busy", "reset", "silent", "many", "half", "endless")
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a key; the value is None if the key was removed."""

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of a store at one time.

    Parameters
    ----------
    items : dict of str to Change
        Latest change of each existing key.
    history : tuple of Change
        Changes since the last compaction, oldest first.
    revision, compacted_revision : int
        Revisions of the latest change and of the last compaction.
    """

    items: dict[str, Change]
    history: tuple[Change, ...]
    revision: int
    compacted_revision: int


class Store:
    """Serves the store's HTTP interface on a free port.

    Parameters
    ----------
    host : str
        IP address to listen on.

    Attributes
    ----------
    address : (str, int)
        Address that the store listens on.
    items : dict of str to Change
        Latest change of each existing key.
    history : list of Change
        Changes since the last compaction, oldest first.
    revision : int
        Revision of the latest change.
    compacted_revision : int
        Revision of the last compaction; watches after an older one get status 410.
    faults : dict of str to str
        Fault for calls from a client IP address; the key "" stands for all clients.
    delay_s : float
        Delay before each answer, in seconds.
    call_count : int
        Number of calls received.
    era : int
        Number of returns from a copy, which all answers name.
    """

    def __init__(self, host: str = "127.0.0.1"):
        self._listener = eventlet.listen((host, 0))
        self.address = self._listener.getsockname()
        self.items: dict[str, Change] = {}
        self.history: list[Change] = []
        self.revision = 1
        self.compacted_revision = 0
        self.faults: dict[str, str] = {}
        self.delay_s = 0.0
        self.call_count = 0
        self.era = 0
        self._change_event = Event()
        self._acceptor = eventlet.spawn(self._accept)
        self._sockets: set = set()

    def stop(self) -> None:
        """Stop listening and shut all connections down."""
        self._acceptor.kill()
        self._listener.close()
        self._close_connections()

    def _close_connections(self) -> None:
        """Shut all connections down."""
        for sock in list(self._sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)  # its green thread closes it
            except OSError:
                continue  # already closed

    def put(self, key: str, value: object) -> int:
        """Write a value, as JSON unless it is bytes, and return its revision."""
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        return self._apply_change(key, data)

    def remove(self, key: str) -> int:
        """Remove a key and return the revision of its removal."""
        return self._apply_change(key, None)

    def _apply_change(self, key: str, value: bytes | None) -> int:
        """Apply a change, wake the pending watches and return the new revision."""
        self.revision += 1
        change = Change(key, self.revision, value)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = change
        self.history.append(change)
        event, self._change_event = self._change_event, Event()
        event.send(None)
        return self.revision

    def take_copy(self) -> StoreCopy:
        """Return a copy for `restore`."""
        return StoreCopy(
            dict(self.items),
            tuple(self.history),
            self.revision,
            self.compacted_revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy, in the next era; all connections are cut."""
        self._close_connections()
        self.items = dict(copy.items)
        self.history = list(copy.history)
        self.revision = copy.revision
        self.compacted_revision = copy.compacted_revision
        self.era += 1

    def compact(self) -> None:
        """Drop the history, so that watches after an older revision get status 410."""
        self.compacted_revision = self.revision
        self.history.clear()

    def _accept(self) -> None:
        """Accept connections until the store stops."""
        while True:
            sock, peer_address = self._listener.accept()
            eventlet.spawn_n(self._serve, sock, peer_address[0])

    def _serve(self, sock, peer_ip: str) -> None:
        """Answer the calls on one connection."""
        reader = MessageReader(sock)
        self._sockets.add(sock)
        try:
            while (call := reader.read()) is not None:
                self.call_count += 1
                fault = self._find_fault(peer_ip)
                if fault == "silent":
                    eventlet.sleep(3600)
                if fault == "reset":
                    return
                if fault == "half":
                    answer = self._handle_call(call)
                    sock.sendall(answer[: len(answer) // 2])
                    eventlet.sleep(3600)
                if fault == "endless":
                    send_without_end(
                        sock,
                        ENDLESS_HEAD,
                        lambda: self._find_fault(peer_ip) == "endless",
                    )
                    return
                eventlet.sleep(self.delay_s)
                sock.sendall(
                    self._encode_refusal(fault) if fault else self._handle_call(call)
                )
        except OSError:
            return  # the client closed the connection
        finally:
            self._sockets.discard(sock)
            sock.close()

    def _find_fault(self, peer_ip: str) -> str:
        """Return the fault for a client; empty if there is none."""
        return self.faults.get(peer_ip) or self.faults.get("", "")

    def _encode_refusal(self, fault: str) -> bytes:
        """Return the response of the faults that refuse a call."""
        status = "429 Too Many Requests" if fault == "many" else "503 Busy"
        return self._encode_answer(status, {})

    def _handle_call(self, call) -> bytes:
        """Return the response to a call."""
        url = urlsplit(call.start_line[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/kv-range":
            return self._encode_json_answer(self._read_range(query))
        if url.path == "/-/kv-watch":
            return self._watch(query)
        return self._encode_answer("404 Not Found", {})

    def _encode_answer(self, status: str, headers: dict, body: bytes = b"") -> bytes:
        """Return a response, which names the era."""
        headers = headers | {"Store-Era": self.era}
        return encode_message(f"HTTP/1.1 {status}", headers, body)

    def _encode_json_answer(self, document: dict) -> bytes:
        """Return a response with status 200 and a JSON body."""
        headers = {"Content-Type": "application/json"}
        return self._encode_answer("200 OK", headers, orjson.dumps(document))

    def _read_range(self, query: dict) -> dict:
        """Return a page of the items with a prefix, in the order of their keys."""
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [make_wire_item(self.items[key]) for key in keys[:PAGE_SIZE]]
        has_more = len(keys) > PAGE_SIZE
        return {"items": page, "hasMore": has_more, "at": self.revision}

    def _watch(self, query: dict) -> bytes:
        """Wait for changes after a revision and return the response with them."""
        after = int(query["after"])
        if not self.compacted_revision <= after <= self.revision:
            return self._encode_answer("410 Gone", {})
        prefix = query.get("prefix", "")
        with eventlet.Timeout(int(query["waitMs"]) / 1000, False):
            while not self._find_changes(after, prefix):
                self._change_event.wait()
        if after < self.compacted_revision:
            return self._encode_answer("410 Gone", {})
        events = [
            make_wire_item(change) for change in self._find_changes(after, prefix)
        ]
        return self._encode_json_answer({"events": events, "at": self.revision})

    def _find_changes(self, after: int, prefix: str) -> list[Change]:
        """Return the changes after a revision of keys with a prefix."""
        return [
            change
            for change in self.history
            if change.revision > after and change.key.startswith(prefix)
        ]


def make_wire_item(change: Change) -> dict:
    """Return the document of an item or a removal in the store's answers."""
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
