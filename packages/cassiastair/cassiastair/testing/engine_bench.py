"""A search engine over fake targets, wired as the daemon wires its own."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..admission import Admission, UnlimitedAdmission
from ..clock import ManualClock
from ..data import (
    KEY_SPACE,
    Change,
    Index,
    KeyRange,
    ObjectKey,
    Policy,
    Service,
    Target,
    Ticket,
)
from ..hedging import HedgePolicy
from ..membership import DrainingTargets
from ..search import SearchDependencies, SearchEngine, SearchRequest, TailTolerances
from ..search.observer import TargetObserver
from ..snapshots import HeldVersionsTable
from ..targets import PowerOfTwoChooser, TargetChooser, TargetRegistry
from ..tickets import StateMap
from ..traces import NoOpTracer, TraceContext
from .fake_targets import FakeTargets

ROOT_TRACE = TraceContext("1" * 32, "1" * 16)


@dataclass
class EngineBench:
    """Parts of an engine over fake targets.

    Parameters
    ----------
    clock : ManualClock
        Virtual clock.
    make_chooser : callable, optional
        Makes the chooser from a source of random numbers.
    make_hedge : callable, optional
        Makes the hedge policy of a service's policy.
    admission : Admission, optional
        Tells how full the tier is.
    """

    clock: ManualClock
    make_chooser: Callable[[random.Random], TargetChooser] = PowerOfTwoChooser
    make_hedge: Callable[[Policy], HedgePolicy] | None = None
    admission: Admission = field(default_factory=UnlimitedAdmission)
    vm_count: int = 1

    def __post_init__(self):
        """Wire the parts."""
        self.state = StateMap()
        self.leaving = DrainingTargets()
        self.held = HeldVersionsTable()
        self.client = FakeTargets()
        source = random.Random(7)
        catalogue = self.state.catalogue
        self.fleet = TargetRegistry(catalogue, self.leaving, self.clock, self.vm_count)
        self.observer = TargetObserver(self.held, self.leaving)
        self.parts = SearchDependencies(
            catalogue=catalogue,
            registry=self.fleet,
            held=self.held,
            client=self.client,
            chooser=self.make_chooser(source),
            tail_tolerance=TailTolerances(self.clock, self.make_hedge),
            admission=self.admission,
            observer=self.observer,
            tracer=NoOpTracer(),
            clock=self.clock,
            rng=source,
        )
        self.engine = SearchEngine(self.parts)

    def apply(self, number: int, *states: Index | Service | Target) -> None:
        """Bring a ticket in force."""
        changes = [Change(key_of(state), state) for state in states]
        self.state.apply(Ticket(number, tuple(changes)))

    def set_up(self, services: int, replicas: int, shards: int = 1, **more) -> None:
        """Bring services of some shards in force, each with whole replicas."""
        names = [f"s{number}" for number in range(services)]
        states: list = [Index("idx", 1, tuple(names))]
        policy = Policy(**more)
        for name in names:
            states.append(Service(name, "idx", cut_shards(shards), policy))
            states += [make_target(name, number) for number in range(replicas)]
        self.apply(1, *states)

    def policy(self, service: str) -> Policy:
        """Return the policy of a service in force."""
        return self.state.catalogue.services[service].policy

    def search(self, deadline_s: float = 1.0, lowest_version: int = 0):
        """Search over the index."""
        deadline = self.clock.now() + deadline_s
        request = SearchRequest(
            "idx", {}, deadline, ROOT_TRACE, lowest_version=lowest_version
        )
        return self.engine.run(request)


def key_of(state: Index | Service | Target) -> ObjectKey:
    """Return the key of a state."""
    return ObjectKey(type(state).__name__.lower(), state.name)


def cut_shards(count: int) -> tuple[KeyRange, ...]:
    """Return equal shards of the key space."""
    bounds = [KEY_SPACE * number // count for number in range(count + 1)]
    return tuple(KeyRange(bounds[i], bounds[i + 1]) for i in range(count))


def make_target(service: str, number: int, **more) -> Target:
    """Return a target of a service that serves every key."""
    usual = {
        "name": f"{service}.{number}",
        "service": service,
        "data_centre": "dc1",
        "host": "127.0.0.1",
        "port": 9000 + number,
        "ranges": cut_shards(1),
        "slots": 100,
        "connection_limit": 1000,
    }
    return Target(**{**usual, **more})
