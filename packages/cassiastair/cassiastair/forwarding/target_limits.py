"""Request rates that targets in need name, divided among the VMs.

A target names how many requests a second it accepts from all VMs together. It
tolerates half as many again and a few more in any four seconds. VMs agree on nothing:
each takes an equal share, as a token bucket, and all full buckets together fit into
what the target tolerates. Where there are more VMs than that allows buckets of one
token, only some VMs, chosen by a hash, send to the target at all; the others send to
its siblings.
"""

import math
from collections.abc import Callable, Collection, Iterable

from ..clock import Clock
from ..errors import PeerProtocolError
from ..membership.rendezvous import hash_pair
from .named_limit import NamedLimit
from .routed_target import RoutedTarget
from .token_bucket import TokenBucket

USED_SHARE = 0.9  # used part of a limit; the rest covers VMs that others don't know yet
TOLERATED_WINDOW_S = 4.0
TOLERATED_RATIO = 0.5  # requests beyond the limit, relative to it
TOLERATED_REQUESTS = 5.0  # further requests beyond the limit in each window
BURST_SHARE = 0.75  # used part of what is tolerated; the rest covers VMs that restart
# Requests a second of all VMs together to a target that names less, so that some VM
# hears when the limit ends.
MIN_RATE = 0.25
# Share of a bucket beyond one token that hedges and retries leave to first sends.
EXTRA_RESERVE_SHARE = 0.5
EXPIRE_S = 40.0  # without a word of the target; up to twice that, by a hash
REFRESH_S = 10.0  # time from which an unchanged limit is reported again
MIN_ADVANCE_S = 0.3  # by which a report must be newer; longer than its way takes
MAX_UNREPORTED = 256  # reports in one message
CHANGED_RATIO = 0.1  # relative change of a limit that is reported at once
ENDED = -1.0  # rate in a report on a limit that has ended


class TargetLimits:
    """Limits that targets have named, and this VM's share of each.

    Parameters
    ----------
    clock : Clock
        Source of time.
    vm : str
        Name of this VM.
    list_vms : callable
        Returns the names of all known VMs, this one included.
    count_vms : callable
        Returns the number of VMs to assume, at least that of the known ones.
    """

    def __init__(
        self,
        clock: Clock,
        vm: str,
        list_vms: Callable[[], Collection[str]],
        count_vms: Callable[[], int],
    ):
        self._clock = clock
        self._vm = vm
        self._list_vms = list_vms
        self._count_vms = count_vms
        self._named: dict[str, NamedLimit] = {}
        # By limited target; None where other VMs share the limit.
        self._buckets: dict[str, TokenBucket | None] = {}
        self._vms = frozenset(list_vms())
        # Number of VMs that come before this one in the order of a limited target.
        self._positions: dict[str, int] = {}
        self._logged: dict[str, float] = {}
        self._reported_at: dict[str, float] = {}
        self._unreported: set[str] = set()

    def record_answer(
        self, target: RoutedTarget, rate: float | None, sent_at: float
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        An answer without a limit ends one only if its request was sent after the limit
        was named, since answers may arrive in another order than they were given.

        Parameters
        ----------
        target : RoutedTarget
            Target that answered.
        rate : float or None
            Requests a second that it accepts from all VMs together, or None.
        sent_at : float
            Time at which the request was sent, in seconds.
        """
        known = self._named.get(target.name)
        if rate is None:
            has_limit = known is not None and known.rate is not None
            if not has_limit or sent_at <= known.named_at:
                return
        named = NamedLimit(rate, self._clock.now())
        reported_at = self._reported_at.get(target.name, -math.inf)
        if has_changed(known, named) or named.named_at - reported_at >= REFRESH_S:
            self._unreported.add(target.name)
        self._apply(target.name, named)

    def _apply(self, name: str, named: NamedLimit) -> None:
        """Put the latest word of a target in force."""
        known = self._named.get(name)
        self._named[name] = named
        if named.rate is None:
            self._remove_share(name)
        elif name not in self._buckets:
            self._positions[name] = self._count_before(name, self._vms)
            self._update_share(name)
        elif known.rate != named.rate:
            self._update_share(name)

    def _remove_share(self, name: str) -> None:
        """Let this VM send to a target without a limit."""
        self._buckets.pop(name, None)
        self._positions.pop(name, None)

    def _count_before(self, name: str, vms: Iterable[str]) -> int:
        """Return how many VMs come before this one in the order of a target."""
        own = hash_pair(name, self._vm)
        return sum(1 for vm in vms if hash_pair(name, vm) < own)

    def _update_share(self, name: str) -> None:
        """Compute this VM's share of a limit."""
        rate = self._named[name].rate
        window_excess = TOLERATED_RATIO * rate * TOLERATED_WINDOW_S
        burst = BURST_SHARE * (window_excess + TOLERATED_REQUESTS)
        sharers = min(self._count_vms(), int(burst))
        if self._positions[name] >= sharers:
            self._buckets[name] = None
            return
        share = USED_SHARE * max(rate, MIN_RATE) / sharers
        capacity = max(1.0, burst / sharers)
        now = self._clock.now()
        bucket = self._buckets.get(name)
        if bucket is None:
            self._buckets[name] = TokenBucket(share, capacity, now)
        else:
            bucket.configure(share, capacity, now)

    def update(self) -> None:
        """Adapt shares to the known VMs, end old limits; called about twice a second.

        A limit ends without a word of its target after a time that differs by VM, so
        that not all VMs try the target at once.
        """
        vms = frozenset(self._list_vms())
        added, removed = vms - self._vms, self._vms - vms
        self._vms = vms
        if added or removed:
            for name in list(self._buckets):
                self._positions[name] += self._count_before(name, added)
                self._positions[name] -= self._count_before(name, removed)
                self._update_share(name)
        now = self._clock.now()
        for name in [n for n, m in self._named.items() if m.named_at < now - EXPIRE_S]:
            fraction = hash_pair(self._vm, name) / 2.0**64
            if self._named[name].named_at < now - EXPIRE_S * (1.0 + fraction):
                del self._named[name]
                self._remove_share(name)
                self._reported_at.pop(name, None)

    def find_wait(self, name: str, extra: bool) -> float:
        """Return the seconds until this VM may send to a target.

        Parameters
        ----------
        name : str
            Name of the target.
        extra : bool
            Whether the send is a hedge or a retry.

        Returns
        -------
        float
            Zero for a target without a limit, infinity if other VMs share the limit.
        """
        if name not in self._buckets:
            return 0.0
        bucket = self._buckets[name]
        if bucket is None:
            return math.inf
        reserve_share = EXTRA_RESERVE_SHARE if extra else 0.0
        return bucket.find_wait(reserve_share, self._clock.now())

    def may_send(self, name: str, extra: bool) -> bool:
        """Return True if this VM may send to a target now.

        Parameters
        ----------
        name : str
            Name of the target.
        extra : bool
            Whether the send is a hedge or a retry.
        """
        return not self._buckets or self.find_wait(name, extra) <= 0.0

    def record_send(self, name: str) -> None:
        """Count a send to a target."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.take(self._clock.now())

    def record_unsent(self, name: str) -> None:
        """Take back the count of a send of which no byte left."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.put_back(self._clock.now())

    def count(self) -> int:
        """Return the number of targets with a limit."""
        return len(self._buckets)

    def find_changes(self) -> list[tuple[str, float | None]]:
        """Return the targets whose limit has changed since the last call.

        Returns
        -------
        list of (str, float or None)
            Names of targets with their limits in requests a second, None for a target
            whose limit has ended.
        """
        current = {name: self._named[name].rate for name in self._buckets}
        ended = [(name, None) for name in self._logged if name not in current]
        changed = [(n, r) for n, r in current.items() if self._logged.get(n) != r]
        self._logged = current
        return sorted(changed) + sorted(ended)

    def export(self) -> list:
        """Return reports on all limits, for a peer that may know none.

        Returns
        -------
        list of list
            Name of the target, its limit in requests a second, and the age of its word
            in seconds.
        """
        return [self._make_report(name) for name in self._buckets]

    def take_unreported(self) -> list:
        """Return the reports that peers lack, in the format of `export`.

        Limits that have ended are among them, with `ENDED` as their rate. There are
        `MAX_UNREPORTED` at most; the next call returns the others.
        """
        names = [name for name in self._unreported if name in self._named]
        self._unreported = set(names[MAX_UNREPORTED:])
        reported = names[:MAX_UNREPORTED]
        self._reported_at |= dict.fromkeys(reported, self._clock.now())
        return [self._make_report(name) for name in reported]

    def _make_report(self, name: str) -> list:
        """Return the report on a target."""
        named = self._named[name]
        rate = ENDED if named.rate is None else named.rate
        return [name, rate, round(self._clock.now() - named.named_at, 3)]

    def merge(self, reports: list) -> None:
        """Merge the reports of a peer; those that are news here become unreported.

        Parameters
        ----------
        reports : list
            Reports in the format of `export`.

        Raises
        ------
        PeerProtocolError
            If a report is malformed.
        """
        now = self._clock.now()
        for name, rate, age in map(check_report, reports):
            known = self._named.get(name)
            named = NamedLimit(None if rate == ENDED else rate, now - age)
            if age >= EXPIRE_S or (known is None and named.rate is None):
                continue
            if known is None or named.named_at > known.named_at + MIN_ADVANCE_S:
                reported_at = self._reported_at.get(name, -math.inf)
                if has_changed(known, named) or now - reported_at >= REFRESH_S:
                    self._unreported.add(name)
                self._apply(name, named)


def has_changed(known: NamedLimit | None, named: NamedLimit) -> bool:
    """Return True if the latest word of a target differs markedly from the last."""
    known_rate = None if known is None else known.rate
    if known_rate is None or named.rate is None:
        return known_rate is not named.rate
    return abs(named.rate - known_rate) > CHANGED_RATIO * known_rate


def check_report(report: object) -> list:
    """Return a report of a peer if it is well-formed.

    Raises
    ------
    PeerProtocolError
        If it is not.
    """
    if isinstance(report, list) and len(report) == 3:
        name, rate, age = report
        if isinstance(name, str) and type(rate) is float and type(age) is float:
            if (0 <= rate < math.inf or rate == ENDED) and age >= 0:
                return report
    raise PeerProtocolError("a report on a target's limit is malformed")
