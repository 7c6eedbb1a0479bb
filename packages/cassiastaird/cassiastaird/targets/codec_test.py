"""Tests of the target protocol's codec with bodies of any content."""

import orjson
from cassiastair.data import Attempt, Snapshot
from cassiastair.targets import BadAnswerFailure, TargetFailure
from testtools import TestCase

from .client_test import ALL_KEYS, ANSWER
from .codec import decode_failure, decode_read, decode_report

ATTEMPT = Attempt("a1", "s", Snapshot(2, 1), ALL_KEYS, {}, 1.0, "")
WHOLE = ANSWER | {"load": 0.5, "pause_ms": 5, "code": "not_held"}
VALUES = (
    None,
    True,
    -1,
    2**63,
    1e300,
    "",
    "x",
    [],
    [1],
    [[1]],
    [[[]]],
    [{}],
    [[1, 2, {}]],
    {},
    {"a": []},
)
CODES = ("not_held", "shed", "draining", "expired", "other", [], {}, None, 1)


def make_bodies() -> list[bytes]:
    """Return bodies that lack a field, or have one of another type."""
    documents = []
    for code in CODES:
        whole = WHOLE | {"code": code}
        documents.append(whole)
        for field in WHOLE:
            documents.append({k: v for k, v in whole.items() if k != field})
            documents += [whole | {field: value} for value in VALUES]
    whole = orjson.dumps(WHOLE)
    others = (b"", b"[]", b"1", b"null", b"\xff", b"[" * 5000, whole[:-1])
    return [orjson.dumps(document) for document in documents] + list(others)


class TestBodies(TestCase):
    """Bodies of answers, failures and reports."""

    def test_bodies_of_any_content_raise_no_other_error(self):
        decoders = (
            lambda raw: decode_read(raw, ATTEMPT),
            lambda raw: decode_failure(raw, 409, ATTEMPT),
            decode_report,
        )
        for raw in make_bodies():
            for decode in decoders:
                try:
                    decode(raw)
                except TargetFailure:
                    continue
                except Exception as error:
                    raise AssertionError(f"{error!r} for {raw!r}") from error

    def test_a_refusal_that_names_no_held_versions_is_a_bad_answer(self):
        body = orjson.dumps({"attempt": "a1", "code": "not_held"})
        self.assertRaises(BadAnswerFailure, decode_failure, body, 409, ATTEMPT)
