"""Stand-in of the platform's store: range reads and watches."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from .http import BadMessageError, encode, read_message

PAGE_ITEMS = 500


class Store:
    """Keeps items and their history in memory and serves them over HTTP."""

    def __init__(self, host: str):
        self._host = host
        self.address = ""
        self.revision = 1
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def put(self, key: str, value: object) -> int:
        """Write a JSON value; return its revision."""
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "createdAt": self._items.get(key, {}).get("createdAt", self.revision),
            "leaseId": 0,
        }
        self._items[key] = item
        self._record(item)
        return self.revision

    def remove(self, key: str) -> int:
        """Remove a key; return the revision of the removal."""
        self.revision += 1
        self._items.pop(key, None)
        self._record({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def _record(self, event: dict) -> None:
        """Append an event and wake the watches."""
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer) -> None:
        """Answer the calls on one connection."""
        try:
            while (call := await read_message(reader)) is not None:
                url = urlsplit(call.start.split(" ")[1])
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                if url.path == "/-/kv-range":
                    document = self._read_range(query)
                elif url.path == "/-/kv-watch":
                    document = await self._watch(query)
                else:
                    document = None
                status = "404 Not Found" if document is None else "200 OK"
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status}", headers, body))
                await writer.drain()
        except (OSError, BadMessageError):
            pass
        finally:
            writer.close()

    def _read_range(self, query: dict) -> dict:
        """Return one page of items."""
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return {
            "items": [self._items[k] for k in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "at": self.revision,
        }

    async def _watch(self, query: dict) -> dict:
        """Return the events after a revision, or none when the wait is over."""
        after, prefix = int(query["after"]), query.get("prefix", "")
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                e
                for e in self._history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = until - loop.time()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
