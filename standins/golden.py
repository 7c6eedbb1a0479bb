"""Whole sessions written down: each step's request and answer, normalised by rule."""

import re

import orjson

from .caller import CallerReply

UNSTABLE_KEYS = ("trace_id", "subrequests")  # random, and dependent on timing
TRACE_ID = re.compile(r"\b[0-9a-f]{32}\b")
REQUEST_ID = re.compile(r"[a-z0-9-]+~[0-9a-f]{24}~\d+")


class Recorder:
    """Writes a session down step by step.

    Times, ports, trace ids and request ids differ from run to run. Request ids are
    numbered in the order in which they appear; the other values are replaced by
    the name of their rule. Nothing else is hidden.
    """

    def __init__(self):
        self.lines: list[str] = []
        self._ids: dict[str, str] = {}

    def add_comment(self, text: str) -> None:
        """Write down what was done outside the interface."""
        self.lines.append(f"# {text}")

    def add_exchange(
        self, vm: str, path: str, body: object, reply: CallerReply
    ) -> None:
        """Write down a request and its answer."""
        shown = body if isinstance(body, str) else self._normalise(body)
        self.lines.append(f"> {vm} POST {path} {shown}")
        self.lines.append(f"< {reply.status} {self._normalise(reply.body)}")

    def _normalise(self, document: object) -> str:
        """Return a document as normalised JSON."""
        plain = mask_unstable(document)
        text = orjson.dumps(plain, option=orjson.OPT_SORT_KEYS).decode()
        text = REQUEST_ID.sub(self._number_id, text)
        return TRACE_ID.sub("<trace>", text)

    def _number_id(self, match: re.Match) -> str:
        """Return the name of a request id."""
        return self._ids.setdefault(match[0], f"<id-{len(self._ids) + 1}>")

    def to_text(self) -> str:
        """Return the whole session."""
        return "\n".join(self.lines) + "\n"


def mask_unstable(document: object) -> object:
    """Replace the values of unstable keys by the name of the rule."""
    if isinstance(document, list):
        return [mask_unstable(item) for item in document]
    if not isinstance(document, dict):
        return document
    return {
        key: f"<{key}>" if key in UNSTABLE_KEYS else mask_unstable(value)
        for key, value in document.items()
    }
