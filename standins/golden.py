"""Recordings of sessions as text, to be compared with golden files.

Each step is recorded with its request and answer. Values that differ from run to run
are replaced, so that the text is the same in each run.
"""

import re

import orjson

from .caller import CallerReply

UNSTABLE_KEYS = ("trace_id", "subrequests")  # random, or dependent on timing
TRACE_ID = re.compile(r"\b[0-9a-f]{32}\b")
REQUEST_ID = re.compile(r"[a-z0-9-]+~[0-9a-f]{24}~\d+")


class Recorder:
    """Records the requests and answers of a session, one line each.

    Request ids are numbered in the order in which they appear. Trace ids and the
    values of `UNSTABLE_KEYS` are replaced by a placeholder. Everything else is
    recorded as it is.
    """

    def __init__(self):
        self.lines: list[str] = []
        self._ids: dict[str, str] = {}

    def add_comment(self, text: str) -> None:
        """Record a step that was not a request, such as a killed process."""
        self.lines.append(f"# {text}")

    def add_exchange(
        self, vm: str, path: str, body: object, reply: CallerReply
    ) -> None:
        """Record a request to a VM and its answer.

        A body that is a string is recorded as it is, any other one as JSON.
        """
        shown = body if isinstance(body, str) else self._normalise(body)
        self.lines.append(f"> {vm} POST {path} {shown}")
        self.lines.append(f"< {reply.status} {self._normalise(reply.body)}")

    def _normalise(self, document: object) -> str:
        """Return a document as JSON with sorted keys and without unstable values."""
        plain = mask_unstable(document)
        text = orjson.dumps(plain, option=orjson.OPT_SORT_KEYS).decode()
        text = REQUEST_ID.sub(self._number_id, text)
        return TRACE_ID.sub("<trace>", text)

    def _number_id(self, match: re.Match) -> str:
        """Return the placeholder of a request id, such as ``<id-1>``."""
        return self._ids.setdefault(match[0], f"<id-{len(self._ids) + 1}>")

    def to_text(self) -> str:
        """Return the text of all recorded steps."""
        return "\n".join(self.lines) + "\n"


def mask_unstable(document: object) -> object:
    """Return a copy of a document with placeholders for the values of unstable keys."""
    if isinstance(document, list):
        return [mask_unstable(item) for item in document]
    if not isinstance(document, dict):
        return document
    return {
        key: f"<{key}>" if key in UNSTABLE_KEYS else mask_unstable(value)
        for key, value in document.items()
    }
