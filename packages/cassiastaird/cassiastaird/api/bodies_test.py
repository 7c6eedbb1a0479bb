"""Tests of the parsers of request bodies, with valid, invalid and random bodies."""

import orjson
from cassiastair.errors import MalformedRequestError
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from .bodies import (
    parse_id_count,
    parse_lookup_body,
    parse_search_body,
    parse_write_body,
)

PARSERS = (parse_search_body, parse_lookup_body, parse_write_body, parse_id_count)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**60), 2**60) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["index", "query", "key", "service", "body", "x"]), inner
        )
    ),
)


class TestBodies(TestCase):
    """Results of valid bodies and problems of invalid ones."""

    def test_valid_bodies_are_parsed(self):
        search = parse_search_body(b'{"index": "a", "query": {}, "deadline_ms": 50}')
        assert (search.index, search.deadline_ms, search.lowest_version) == ("a", 50, 0)
        assert parse_lookup_body(b'{"service": "s", "key": 7}').key == 7
        write = parse_write_body(b'{"service": "s", "key": 7, "body": {"a": 1}}')
        assert write.request_id is None
        assert parse_id_count(b"") == 1

    def test_all_problems_are_listed(self):
        raw = b'{"index": "A B", "query": 1, "deadline_ms": 0, "lowest_coverage": 2}'
        error = self.assertRaises(MalformedRequestError, parse_search_body, raw)
        for path in ("index", "query", "deadline_ms", "lowest_coverage"):
            assert f"{path}: " in error.message

    def test_deeply_nested_body_is_rejected(self):
        raw = b'{"query": ' + b"[" * 100 + b"]" * 100 + b"}"
        error = self.assertRaises(MalformedRequestError, parse_search_body, raw)
        assert "deeper" in error.message

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=60) | JSON_VALUES.map(orjson.dumps))
    def test_any_body_is_parsed_or_rejected(self, raw):
        for parse in PARSERS:
            try:
                parse(raw)
            except MalformedRequestError as error:
                assert error.message
