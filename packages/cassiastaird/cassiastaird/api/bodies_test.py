"""Tests of callers' bodies: every fault is reported, nothing crashes."""

import orjson
from cassiastair.errors import MalformedRequestError
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from .bodies import read_id_count, read_lookup, read_search, read_write

READERS = (read_search, read_lookup, read_write, read_id_count)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**60), 2**60) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["index", "query", "key", "service", "body", "x"]), inner
        )
    ),
)


class TestBodies(TestCase):
    """Reading of bodies."""

    def test_good_bodies(self):
        search = read_search(b'{"index": "a", "query": {}, "deadline_ms": 50}')
        assert (search.index, search.deadline_ms, search.lowest_version) == ("a", 50, 0)
        assert read_lookup(b'{"service": "s", "key": 7}').key == 7
        write = read_write(b'{"service": "s", "key": 7, "body": {"a": 1}}')
        assert write.request_id is None
        assert read_id_count(b"") == 1

    def test_all_faults_are_listed(self):
        raw = b'{"index": "A B", "query": 1, "deadline_ms": 0, "lowest_coverage": 2}'
        error = self.assertRaises(MalformedRequestError, read_search, raw)
        for place in ("index", "query", "deadline_ms", "lowest_coverage"):
            assert f"{place}: " in error.message

    def test_deep_body(self):
        raw = b'{"query": ' + b"[" * 100 + b"]" * 100 + b"}"
        error = self.assertRaises(MalformedRequestError, read_search, raw)
        assert "deeper" in error.message

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=60) | JSON.map(orjson.dumps))
    def test_anything_is_read_or_refused(self, raw):
        for reader in READERS:
            try:
                reader(raw)
            except MalformedRequestError as error:
                assert error.message
