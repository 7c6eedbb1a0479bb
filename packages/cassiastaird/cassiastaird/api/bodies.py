"""Parsers of request bodies, which report all problems of a body at once."""

from dataclasses import dataclass

import orjson
from cassiastair.data import KEY_SPACE
from cassiastair.errors import MalformedRequestError
from cassiastair.tickets.fields import FieldReader
from cassiastair.tickets.parse import measure_depth

MAX_DEADLINE_MS = 60_000
MAX_NESTING_DEPTH = 16
MAX_IDS_PER_REQUEST = 100
MAX_VERSION = 2**53  # larger integers lose digits in parsers that use doubles


@dataclass(frozen=True, slots=True)
class SearchBody:
    """Parsed body of POST /v1/search."""

    index: str
    query: dict
    deadline_ms: int | None
    lowest_coverage: float | None
    lowest_version: int


@dataclass(frozen=True, slots=True)
class LookupBody:
    """Parsed body of POST /v1/lookup."""

    service: str
    key: int
    deadline_ms: int | None
    lowest_version: int


@dataclass(frozen=True, slots=True)
class WriteBody:
    """Parsed body of POST /v1/write."""

    service: str
    key: int
    body: dict
    request_id: str | None
    deadline_ms: int | None


class BodyReader:
    """Reads the fields of a JSON body and collects the problems of all of them.

    Parameters
    ----------
    raw : bytes
        Body of the request.

    Raises
    ------
    MalformedRequestError
        If the body is not a JSON object or is nested too deeply.
    """

    def __init__(self, raw: bytes):
        try:
            self.document = orjson.loads(raw)
        except orjson.JSONDecodeError as error:
            raise MalformedRequestError(f"the body is not JSON: {error}") from error
        if not isinstance(self.document, dict):
            raise MalformedRequestError("the body is not a JSON object")
        if measure_depth(self.document, MAX_NESTING_DEPTH + 1) > MAX_NESTING_DEPTH:
            raise MalformedRequestError(
                f"the body is deeper than {MAX_NESTING_DEPTH} levels"
            )
        self.problems: list = []
        self.field_reader = FieldReader(self.document, "", self.problems)

    def integer_or_none(self, field: str, low: int, high: int) -> int | None:
        """Return an integer field; None if it is missing or null."""
        if self.document.get(field) is None:
            return None
        return self.field_reader.integer(field, low, high)

    def deadline(self) -> int | None:
        """Return the deadline in milliseconds; None if it is missing or null."""
        return self.integer_or_none("deadline_ms", 1, MAX_DEADLINE_MS)

    def object(self, field: str) -> dict:
        """Return a field that holds a JSON object."""
        value = self.document.get(field)
        if not isinstance(value, dict):
            self.field_reader.report(field, "must be a JSON object")
            return {}
        return value

    def raise_problems(self, known_fields: set[str]) -> None:
        """Raise `MalformedRequestError` if a field is invalid or its name not known."""
        self.field_reader.report_unknown(known_fields)
        if self.problems:
            raise MalformedRequestError("; ".join(map(str, self.problems)))


def parse_search_body(raw: bytes) -> SearchBody:
    """Parse the body of a search.

    Raises
    ------
    MalformedRequestError
        If the body is invalid; the message lists all problems.
    """
    body = BodyReader(raw)
    lowest_coverage = None
    if body.document.get("lowest_coverage") is not None:
        lowest_coverage = body.field_reader.number("lowest_coverage", 0, 1, 0)
    search = SearchBody(
        index=body.field_reader.name("index"),
        query=body.object("query"),
        deadline_ms=body.deadline(),
        lowest_coverage=lowest_coverage,
        lowest_version=body.field_reader.integer("lowest_version", 0, MAX_VERSION, 0),
    )
    body.raise_problems(set(SearchBody.__dataclass_fields__))
    return search


def parse_lookup_body(raw: bytes) -> LookupBody:
    """Parse the body of a lookup.

    Raises
    ------
    MalformedRequestError
        If the body is invalid; the message lists all problems.
    """
    body = BodyReader(raw)
    lookup = LookupBody(
        service=body.field_reader.name("service"),
        key=body.field_reader.integer("key", 0, KEY_SPACE - 1),
        deadline_ms=body.deadline(),
        lowest_version=body.field_reader.integer("lowest_version", 0, MAX_VERSION, 0),
    )
    body.raise_problems(set(LookupBody.__dataclass_fields__))
    return lookup


def parse_write_body(raw: bytes) -> WriteBody:
    """Parse the body of a non-idempotent request.

    Raises
    ------
    MalformedRequestError
        If the body is invalid; the message lists all problems.
    """
    body = BodyReader(raw)
    request_id = body.document.get("request_id")
    if request_id is not None and not isinstance(request_id, str):
        body.field_reader.report("request_id", "must be a string")
    write = WriteBody(
        service=body.field_reader.name("service"),
        key=body.field_reader.integer("key", 0, KEY_SPACE - 1),
        body=body.object("body"),
        request_id=request_id,
        deadline_ms=body.deadline(),
    )
    body.raise_problems(set(WriteBody.__dataclass_fields__))
    return write


def parse_id_count(raw: bytes) -> int:
    """Return the number of ids that a caller requests; one for an empty body.

    Raises
    ------
    MalformedRequestError
        If the body is invalid; the message lists all problems.
    """
    body = BodyReader(raw or b"{}")
    count = body.field_reader.integer("count", 1, MAX_IDS_PER_REQUEST, 1)
    body.raise_problems({"count"})
    return count
