"""Tests of merging: delivery order, repeats and gaps do not change the final state."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from ..data import Change, Index, ObjectKey, Ticket
from .digest import find_differing_buckets
from .state_map import StateMap

NAMES = ("a", "b", "c", "d")


def make_ticket(number: int, names, epoch: int | None = None) -> Ticket:
    """Return a ticket that sets the epoch of some indexes, by default to its number."""
    value = number if epoch is None else epoch
    changes = [
        Change(ObjectKey("index", name), Index(name, value, ("s",))) for name in names
    ]
    return Ticket(number, tuple(changes))


TICKETS = st.lists(
    st.tuples(
        st.integers(1, 12),
        st.sets(st.sampled_from(NAMES), min_size=1),
        st.integers(1, 3),
    ),
    max_size=12,
)


class TestStateMap(TestCase):
    """Merging of tickets and comparison by digest."""

    @pytest.mark.proof(
        promise="tickets", failure="operators race; delivery reorders and repeats"
    )
    @settings(max_examples=200, derandomize=True, database=None, deadline=None)
    @given(TICKETS, st.randoms(use_true_random=False))
    def test_any_order_and_repeats_give_the_same_state(self, raw, rng):
        tickets = [make_ticket(*parts) for parts in raw]
        first, second = StateMap(), StateMap()
        for ticket in tickets:
            first.apply(ticket)
        shuffled = tickets + rng.sample(tickets, len(tickets) // 2)
        rng.shuffle(shuffled)
        for ticket in shuffled:
            second.apply(ticket)
        assert first.entries == second.entries
        assert first.digest.root == second.digest.root
        assert first.catalogue.indexes == second.catalogue.indexes

    def test_lower_ticket_number_never_replaces_a_higher_one(self):
        rng = random.Random(1)
        state = StateMap()
        highest: dict[str, int] = {}
        for _ in range(500):
            ticket = make_ticket(rng.randint(1, 50), rng.sample(NAMES, 2))
            state.apply(ticket)
            for change in ticket.changes:
                name = change.key.name
                highest[name] = max(highest.get(name, 0), ticket.number)
            for name, number in highest.items():
                assert state.catalogue.indexes[name].epoch == number

    def test_removed_object_stays_removed(self):
        state = StateMap()
        state.apply(Ticket(5, (Change(ObjectKey("index", "a"), None),)))
        assert state.apply(make_ticket(4, ["a"])) == []
        assert "a" not in state.catalogue.indexes

    def test_digests_differ_in_the_bucket_of_the_change(self):
        first, second = StateMap(), StateMap()
        for state in (first, second):
            state.apply(make_ticket(1, NAMES))
        assert first.digest.root == second.digest.root
        second.apply(make_ticket(2, ["c"]))
        assert first.digest.root != second.digest.root
        buckets = find_differing_buckets(first.digest.pack(), second.digest.pack())
        assert [e.key.name for e in first.entries_in_buckets(buckets)] == ["c"]

    def test_digest_of_a_wrong_size_is_refused(self):
        state = StateMap()
        self.assertRaises(
            ValueError, find_differing_buckets, state.digest.pack(), b"123"
        )
