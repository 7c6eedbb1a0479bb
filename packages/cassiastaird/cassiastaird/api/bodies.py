"""Reading of callers' bodies; every fault of a body is reported at once."""

from dataclasses import dataclass

import orjson
from cassiastair.data import KEY_SPACE
from cassiastair.errors import MalformedRequestError
from cassiastair.tickets.fields import FieldReader
from cassiastair.tickets.parse import measure_depth

MAX_DEADLINE_MS = 60_000
MAX_DEPTH = 16
MAX_IDS_AT_ONCE = 100
VERSION_LIMIT = 2**53


@dataclass(frozen=True, slots=True)
class SearchBody:
    """Body of POST /v1/search."""

    index: str
    query: dict
    deadline_ms: int | None
    lowest_coverage: float | None
    lowest_version: int


@dataclass(frozen=True, slots=True)
class LookupBody:
    """Body of POST /v1/lookup."""

    service: str
    key: int
    deadline_ms: int | None
    lowest_version: int


@dataclass(frozen=True, slots=True)
class WriteBody:
    """Body of POST /v1/write."""

    service: str
    key: int
    body: dict
    request_id: str | None
    deadline_ms: int | None


class Body:
    """Reads the fields of a body and raises all faults together.

    Parameters
    ----------
    raw : bytes
        JSON text.

    Raises
    ------
    MalformedRequestError
        If the text is not a JSON object or nested too deeply.
    """

    def __init__(self, raw: bytes):
        try:
            self.document = orjson.loads(raw)
        except orjson.JSONDecodeError as error:
            raise MalformedRequestError(f"the body is not JSON: {error}") from error
        if not isinstance(self.document, dict):
            raise MalformedRequestError("the body is not a JSON object")
        if measure_depth(self.document, MAX_DEPTH + 1) > MAX_DEPTH:
            raise MalformedRequestError(f"the body is deeper than {MAX_DEPTH} levels")
        self.problems: list = []
        self.reader = FieldReader(self.document, "", self.problems)

    def optional_integer(self, field: str, low: int, high: int) -> int | None:
        """Read an integer that may be left out."""
        if self.document.get(field) is None:
            return None
        return self.reader.integer(field, low, high)

    def deadline(self) -> int | None:
        """Read the deadline in milliseconds."""
        return self.optional_integer("deadline_ms", 1, MAX_DEADLINE_MS)

    def object(self, field: str) -> dict:
        """Read a JSON object."""
        value = self.document.get(field)
        if not isinstance(value, dict):
            self.reader.report(field, "must be a JSON object")
            return {}
        return value

    def finish(self, known: set[str]) -> None:
        """Raise if any fault was found."""
        self.reader.refuse_unknown(known)
        if self.problems:
            raise MalformedRequestError("; ".join(map(str, self.problems)))


def read_search(raw: bytes) -> SearchBody:
    """Read the body of a search.

    Raises
    ------
    MalformedRequestError
        If anything in it is wrong.
    """
    body = Body(raw)
    lowest_coverage = None
    if body.document.get("lowest_coverage") is not None:
        lowest_coverage = body.reader.number("lowest_coverage", 0, 1, 0)
    search = SearchBody(
        index=body.reader.name("index"),
        query=body.object("query"),
        deadline_ms=body.deadline(),
        lowest_coverage=lowest_coverage,
        lowest_version=body.reader.integer("lowest_version", 0, VERSION_LIMIT, 0),
    )
    body.finish(set(SearchBody.__dataclass_fields__))
    return search


def read_lookup(raw: bytes) -> LookupBody:
    """Read the body of a lookup.

    Raises
    ------
    MalformedRequestError
        If anything in it is wrong.
    """
    body = Body(raw)
    lookup = LookupBody(
        service=body.reader.name("service"),
        key=body.reader.integer("key", 0, KEY_SPACE - 1),
        deadline_ms=body.deadline(),
        lowest_version=body.reader.integer("lowest_version", 0, VERSION_LIMIT, 0),
    )
    body.finish(set(LookupBody.__dataclass_fields__))
    return lookup


def read_write(raw: bytes) -> WriteBody:
    """Read the body of a non-idempotent request.

    Raises
    ------
    MalformedRequestError
        If anything in it is wrong.
    """
    body = Body(raw)
    request_id = body.document.get("request_id")
    if request_id is not None and not isinstance(request_id, str):
        body.reader.report("request_id", "must be a string")
    write = WriteBody(
        service=body.reader.name("service"),
        key=body.reader.integer("key", 0, KEY_SPACE - 1),
        body=body.object("body"),
        request_id=request_id,
        deadline_ms=body.deadline(),
    )
    body.finish(set(WriteBody.__dataclass_fields__))
    return write


def read_id_count(raw: bytes) -> int:
    """Read how many ids a caller wants.

    Raises
    ------
    MalformedRequestError
        If anything in the body is wrong.
    """
    body = Body(raw or b"{}")
    count = body.reader.integer("count", 1, MAX_IDS_AT_ONCE, 1)
    body.finish({"count"})
    return count
