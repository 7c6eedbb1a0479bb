"""Search engine over fake targets, assembled as in the daemon."""

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
    """Search engine over fake targets, with its dependencies.

    Parameters
    ----------
    clock : ManualClock
        Virtual clock.
    make_chooser : callable, optional
        Creates the chooser of targets from a random number generator.
    make_hedge : callable, optional
        Creates a hedge policy from a service's policy.
    admission : Admission, optional
        Admission control; by default every query is admitted.
    vm_count : int
        Number of VMs that share the targets.
    """

    clock: ManualClock
    make_chooser: Callable[[random.Random], TargetChooser] = PowerOfTwoChooser
    make_hedge: Callable[[Policy], HedgePolicy] | None = None
    admission: Admission = field(default_factory=UnlimitedAdmission)
    vm_count: int = 1

    def __post_init__(self):
        """Create the engine and its dependencies."""
        self.state = StateMap()
        self.draining_targets = DrainingTargets()
        self.held = HeldVersionsTable()
        self.client = FakeTargets()
        rng = random.Random(7)
        catalogue = self.state.catalogue
        self.registry = TargetRegistry(
            catalogue, self.draining_targets, self.clock, self.vm_count
        )
        self.observer = TargetObserver(self.held, self.draining_targets, self.clock)
        self.dependencies = SearchDependencies(
            catalogue=catalogue,
            registry=self.registry,
            held_versions=self.held,
            client=self.client,
            chooser=self.make_chooser(rng),
            tail_tolerance=TailTolerances(self.clock, self.make_hedge),
            admission=self.admission,
            observer=self.observer,
            tracer=NoOpTracer(),
            clock=self.clock,
            rng=rng,
        )
        self.engine = SearchEngine(self.dependencies)

    def apply(self, number: int, *states: Index | Service | Target) -> None:
        """Put a ticket in force.

        Parameters
        ----------
        number : int
            Number of the ticket.
        *states : Index, Service or Target
            New states of the objects that the ticket changes.
        """
        changes = [Change(make_key(state), state) for state in states]
        self.state.apply(Ticket(number, tuple(changes)))

    def set_up(
        self, services: int, replicas: int, shards: int = 1, **policy_fields
    ) -> None:
        """Put an index of services with targets in force.

        Parameters
        ----------
        services : int
            Number of services in the index.
        replicas : int
            Number of targets of each service; each serves all shards.
        shards : int
            Number of equal shards of each service.
        **policy_fields
            Fields of the services' policy that differ from the default.
        """
        names = [f"s{number}" for number in range(services)]
        states: list = [Index("idx", 1, tuple(names))]
        policy = Policy(**policy_fields)
        for name in names:
            states.append(Service(name, "idx", cut_shards(shards), policy))
            states += [make_target(name, number) for number in range(replicas)]
        self.apply(1, *states)

    def policy(self, service: str) -> Policy:
        """Return the policy in force for a service."""
        return self.state.catalogue.services[service].policy

    def search(self, deadline_s: float = 1.0, lowest_version: int = 0):
        """Search the index; return the engine's answer.

        Parameters
        ----------
        deadline_s : float
            Seconds from now to the deadline.
        lowest_version : int
            Oldest data version to answer from.
        """
        deadline = self.clock.now() + deadline_s
        request = SearchRequest(
            "idx", {}, deadline, ROOT_TRACE, lowest_version=lowest_version
        )
        return self.engine.run(request)


def make_key(state: Index | Service | Target) -> ObjectKey:
    """Return the key of the object that a state belongs to."""
    return ObjectKey(type(state).__name__.lower(), state.name)


def cut_shards(count: int) -> tuple[KeyRange, ...]:
    """Split the key space into equal shards."""
    boundaries = [KEY_SPACE * number // count for number in range(count + 1)]
    return tuple(KeyRange(boundaries[i], boundaries[i + 1]) for i in range(count))


def make_target(service: str, number: int, **fields) -> Target:
    """Return a target that serves every key.

    Parameters
    ----------
    service : str
        Service of the target.
    number : int
        Number of the target, which sets its name and port.
    **fields
        Fields of the target that differ from the default.
    """
    defaults = {
        "name": f"{service}.{number}",
        "service": service,
        "data_centre": "dc1",
        "host": "127.0.0.1",
        "port": 9000 + number,
        "ranges": cut_shards(1),
        "slots": 100,
        "connection_limit": 1000,
    }
    return Target(**{**defaults, **fields})
