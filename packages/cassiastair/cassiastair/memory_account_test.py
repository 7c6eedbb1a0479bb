"""Tests of the memory account, among them random orders of its operations."""

import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)
from testtools import TestCase

from .errors import MemoryFullError
from .memory_account import MAX_WAITING_SHARE, MemoryAccount, MemoryHolder, MemoryWait

LIMIT = 1000
SHARES = (0.3, 0.2, 0.1)
SIZES = st.integers(1, 700)
HOLDERS = st.integers(0, len(SHARES) - 1)


def make_account() -> MemoryAccount:
    """Return an account with three holders, to which 40% is lent."""
    account = MemoryAccount(LIMIT)
    for index, share in enumerate(SHARES):
        account.add_holder(f"holder {index}", share)
    return account


class TestMemoryAccount(TestCase):
    """Guaranteed parts, borrowing, waiting and refusals."""

    def setUp(self):
        super().setUp()
        self.account = make_account()
        self.first, self.second, self.third = self.account.holders
        self.granted = []

    def wait(self, holder, size: int, name: str = ""):
        """Queue a reservation that notes its name when it is granted."""
        return holder.wait(size, lambda: self.granted.append(name))

    def test_a_holder_borrows_what_none_is_guaranteed(self):
        assert self.first.try_reserve(700)
        assert not self.first.try_reserve(1)
        assert self.second.try_reserve(200)
        assert self.third.try_reserve(100)
        assert self.account.held == LIMIT

    def test_a_waiting_reservation_is_granted_on_a_release(self):
        assert self.first.try_reserve(700)
        self.wait(self.first, 100, "first")
        assert not self.granted
        self.first.release(100)
        assert self.granted == ["first"]

    def test_reservations_of_a_holder_are_granted_in_order(self):
        assert self.first.try_reserve(700)
        self.wait(self.first, 200, "large")
        self.wait(self.first, 10, "small")
        self.first.release(100)
        assert not self.granted
        assert not self.first.try_reserve(1)
        self.first.release(110)
        assert self.granted == ["large", "small"]

    def test_the_longest_wait_borrows_first(self):
        assert self.first.try_reserve(700)
        self.wait(self.second, 500, "second")
        self.first.release(200)
        assert not self.third.try_reserve(101)
        assert self.third.try_reserve(100)
        self.first.release(200)
        assert self.granted == ["second"]

    def test_a_reservation_that_can_never_be_made_is_refused_at_once(self):
        self.assertRaises(MemoryFullError, self.wait, self.first, 701)
        assert self.first.refused_count == 1

    def test_reservations_are_refused_at_once_when_too_much_waits(self):
        assert self.first.try_reserve(700)
        self.wait(self.first, 200)
        self.assertRaises(MemoryFullError, self.wait, self.first, 100)
        assert self.account.refused_size == 100

    def test_a_cancelled_wait_holds_nothing_granted_or_not(self):
        assert self.first.try_reserve(700)
        waiting = self.wait(self.first, 100)
        waiting.cancel()
        granted = self.wait(self.first, 50)
        self.first.release(700)
        assert granted.granted
        granted.cancel()
        granted.cancel()
        assert self.account.held == self.account.waiting == 0

    def test_a_lower_limit_stops_lending(self):
        assert self.first.try_reserve(700)
        self.account.set_limit(800)
        assert self.account.free == 0
        assert not self.first.try_reserve(1)
        assert self.second.try_reserve(100)

    def test_more_than_is_held_cannot_be_released(self):
        assert self.first.try_reserve(10)
        self.assertRaises(ValueError, self.first.release, 11)


class Connection:
    """What a connection has reserved, and waits for, at one holder."""

    def __init__(self, holder: MemoryHolder):
        self.holder = holder
        self.held: list[int] = []
        self.waits: list[MemoryWait] = []


class AccountMachine(RuleBasedStateMachine):
    """Random reservations, releases, cancellations and losses of connections."""

    connections = Bundle("connections")

    def __init__(self):
        super().__init__()
        self.account = make_account()
        self.live: list[Connection] = []
        self.numbers = itertools.count()
        self.numbers_by_wait: dict[MemoryWait, int] = {}
        self.queued: list[tuple[int, MemoryHolder]] = []

    @rule(target=connections, index=HOLDERS)
    def connect(self, index):
        connection = Connection(self.account.holders[index])
        self.live.append(connection)
        return connection

    @rule(connection=connections, size=SIZES)
    def reserve(self, connection, size):
        holder = connection.holder
        had_wait = bool(holder.waits)
        fits_own_part = holder.held + size <= holder.guaranteed
        granted = holder.try_reserve(size)
        if fits_own_part and not had_wait:
            assert granted, "a guaranteed part was refused"
        if granted:
            assert not had_wait, "a reservation overtook one that waits"
            connection.held.append(size)

    @rule(connection=connections, size=SIZES)
    def wait(self, connection, size):
        holder = connection.holder
        number = next(self.numbers)
        try:
            self.queued.append((number, holder))
            wait = holder.wait(size, lambda: self.check_grant(holder, number))
        except MemoryFullError:
            self.queued.remove((number, holder))
            return
        connection.waits.append(wait)
        self.numbers_by_wait[wait] = number

    def check_grant(self, holder, number):
        """Check that a granted reservation borrows before no older one."""
        self.queued.remove((number, holder))
        if holder.held > holder.guaranteed:
            assert not any(
                older < number and other is not holder for older, other in self.queued
            ), "a later reservation borrowed first"

    @rule(connection=connections)
    def release(self, connection):
        self.collect_granted()
        if connection.held:
            connection.holder.release(connection.held.pop())

    @rule(connection=connections)
    def cancel(self, connection):
        if connection.waits:
            self.cancel_wait(connection)

    def cancel_wait(self, connection):
        """Cancel the latest reservation of a connection, granted or not."""
        wait = connection.waits.pop()
        if not wait.granted:
            number = self.numbers_by_wait[wait]
            self.queued.remove((number, connection.holder))
        wait.cancel()

    @rule(connection=consumes(connections))
    def lose_connection(self, connection):
        self.close(connection)

    def close(self, connection):
        """Cancel and release all that a connection has."""
        self.live.remove(connection)
        while connection.waits:
            self.cancel_wait(connection)
        while connection.held:
            connection.holder.release(connection.held.pop())

    def collect_granted(self):
        """Move granted reservations to what their connections hold."""
        for connection in self.live:
            granted = [wait for wait in connection.waits if wait.granted]
            connection.waits = [w for w in connection.waits if not w.granted]
            connection.held += [wait.size for wait in granted]

    @invariant()
    def sum_is_within_limit(self):
        assert self.account.held <= LIMIT
        counted = sum(max(h.held, h.guaranteed) for h in self.account.holders)
        assert counted <= LIMIT, "a guaranteed part was lent"

    @invariant()
    def held_and_waiting_match_the_connections(self):
        for holder in self.account.holders:
            mine = [c for c in self.live if c.holder is holder]
            waits = [wait for c in mine for wait in c.waits]
            held = sum(sum(c.held) for c in mine)
            assert holder.held == held + sum(w.size for w in waits if w.granted)
            assert holder.waiting == sum(w.size for w in waits if not w.granted)

    @invariant()
    def nothing_waits_that_could_be_granted(self):
        waiting = [holder for holder in self.account.holders if holder.waits]
        waiting.sort(key=lambda holder: holder.waits[0].sequence)
        for index, holder in enumerate(waiting):
            own = max(0, holder.guaranteed - holder.held)
            room = own + (self.account.free if index == 0 else 0)
            assert holder.waits[0].size > room, "a wait was not granted"

    @invariant()
    def longest_wait_borrows_before_other_holders(self):
        if not self.account.has_waits:
            return
        for holder in self.account.holders:
            own = max(0, holder.guaranteed - holder.held)
            assert holder.available <= own, "a later reservation may overtake"

    @invariant()
    def waits_are_bounded_and_can_be_granted(self):
        for holder in self.account.holders:
            most = holder.guaranteed + self.account.lendable
            assert all(wait.size <= most for wait in holder.waits)
            too_much = holder.waiting > MAX_WAITING_SHARE * LIMIT
            assert len(holder.waits) <= 1 or not too_much, "too much waits"

    def teardown(self):
        while self.live:
            self.close(self.live[0])
        assert self.account.held == self.account.waiting == 0
        for holder in self.account.holders:
            assert holder.try_reserve(holder.guaranteed), "a holder starves"


TestAccountMachine = AccountMachine.TestCase
TestAccountMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
