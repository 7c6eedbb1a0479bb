"""Tests of parsing and checking: a ticket is valid as a whole or has problems."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..data import KEY_SPACE, Ticket
from .check import check_against_state
from .codec import encode_state
from .parse import parse_entry, parse_ticket
from .state_map import StateMap

INDEX = {"object": "index/i", "state": {"epoch": 1, "services": ["s"]}}
SERVICE = {
    "object": "service/s",
    "state": {"index": "i", "shards": [[0, KEY_SPACE]], "policy": {"weight": 3}},
}
TARGET = {
    "object": "target/t",
    "state": {
        "service": "s",
        "data_centre": "dc",
        "host": "10.0.0.1",
        "port": 80,
        "ranges": [[0, KEY_SPACE]],
        "slots": 2,
        "connection_limit": 25,
    },
}


def dump_ticket(number: object, *changes: object) -> bytes:
    """Return the JSON text of a ticket."""
    return orjson.dumps({"ticket": number, "changes": list(changes)})


def with_state(change: dict, **fields: object) -> dict:
    """Return a copy of a change with some fields of its state replaced."""
    return {**change, "state": {**change["state"], **fields}}


class TestParseTicket(TestCase):
    """Parsing of tickets and of entries from peers."""

    def test_valid_ticket_is_parsed(self):
        ticket, problems = parse_ticket(dump_ticket(7, INDEX, SERVICE, TARGET))
        assert problems == []
        assert ticket.number == 7
        assert len(ticket.changes) == 3

    def test_all_faults_are_listed_with_their_paths(self):
        raw = dump_ticket(
            0,
            with_state(INDEX, epoch="x", extra=1),
            with_state(SERVICE, shards=[[0, 5], [3, 9]], policy={"weight": 0}),
            with_state(TARGET, port=0, host="name.example", ranges=[[5, 2]]),
            {"object": "planet/x", "state": None},
            {"object": "index/gone"},
        )
        ticket, problems = parse_ticket(raw)
        assert ticket is None
        assert {problem.path for problem in problems} == {
            "ticket",
            "changes[0].state.extra",
            "changes[0].state.epoch",
            "changes[1].state.shards[1]",
            "changes[1].state.shards",
            "changes[1].state.policy.weight",
            "changes[2].state.host",
            "changes[2].state.port",
            "changes[2].state.ranges[0]",
            "changes[3].object",
            "changes[4].state",
        }

    def test_object_changed_twice_is_refused(self):
        ticket, problems = parse_ticket(dump_ticket(1, INDEX, INDEX))
        assert ticket is None
        assert "second time" in problems[0].message

    def test_oversized_and_deeply_nested_tickets_are_refused(self):
        assert parse_ticket(b" " * 1_000_001)[0] is None
        deep = b"[" * 50 + b"]" * 50
        assert "nested" in parse_ticket(deep)[1][0].message

    @pytest.mark.proof(promise="tickets", failure="a value is malformed or cut short")
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(st.integers(0, 400), st.binary(max_size=6))
    def test_damaged_text_never_gives_half_a_ticket(self, position, noise):
        whole = dump_ticket(7, INDEX, SERVICE, TARGET)
        damaged = whole[:position] + noise + whole[position + len(noise) :]
        ticket, problems = parse_ticket(damaged)
        assert (ticket is None) == bool(problems)
        if ticket is not None:
            assert len(ticket.changes) == 3
        assert parse_ticket(whole[:position])[0] is None or position >= len(whole)

    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(
        st.recursive(
            st.none() | st.integers() | st.text(max_size=5) | st.floats(),
            lambda inner: (
                st.lists(inner, max_size=4)
                | st.dictionaries(st.text(max_size=5), inner, max_size=4)
            ),
        )
    )
    def test_any_value_from_a_peer_is_parsed_or_refused(self, value):
        assert parse_entry(value) is None
        assert parse_entry(["service", "s", 1, value]) is None or value is None

    def test_encoded_entry_is_parsed_back(self):
        ticket, _ = parse_ticket(dump_ticket(7, INDEX, SERVICE, TARGET))
        for change in ticket.changes:
            plain = [change.key.kind, change.key.name, 7, encode_state(change.state)]
            assert parse_entry(plain).state == change.state


class TestCheckAgainstState(TestCase):
    """Checks of a ticket against the state in force."""

    def setUp(self):
        super().setUp()
        self.state = StateMap()
        self.state.apply(parse_valid(dump_ticket(5, INDEX, SERVICE, TARGET)))

    def check_ticket(self, raw: bytes) -> str:
        """Return all problems of a ticket, one a line."""
        return "\n".join(map(str, check_against_state(parse_valid(raw), self.state)))

    def test_valid_ticket_has_no_problems(self):
        assert self.check_ticket(dump_ticket(6, with_state(TARGET, port=81))) == ""

    def test_ticket_number_already_in_force_is_reported(self):
        assert "take a higher number" in self.check_ticket(dump_ticket(5, TARGET))

    def test_dangling_references_are_reported(self):
        problems = self.check_ticket(
            dump_ticket(
                6,
                with_state(TARGET, service="nope"),
                with_state(INDEX, services=["nope"]),
            )
        )
        assert problems.count("service/nope, which would not exist") == 2

    def test_new_shards_need_a_new_epoch(self):
        split = with_state(SERVICE, shards=[[0, 5], [5, KEY_SPACE]])
        assert "raise the epoch" in self.check_ticket(dump_ticket(6, split))
        assert (
            self.check_ticket(dump_ticket(6, split, with_state(INDEX, epoch=2))) == ""
        )


def parse_valid(raw: bytes) -> Ticket:
    """Return a ticket that must parse without a problem."""
    ticket, problems = parse_ticket(raw)
    assert not problems, problems
    return ticket
