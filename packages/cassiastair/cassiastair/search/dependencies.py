"""Objects that the search engine and its scatters work with."""

import random
from dataclasses import dataclass

from ..admission import Admission
from ..clock import Clock
from ..snapshots import HeldVersionsTable
from ..targets import TargetChooser, TargetClient, TargetRegistry
from ..tickets import Catalogue
from ..traces import Tracer
from .observer import TargetObserver
from .tail_tolerance import TailTolerances


@dataclass(frozen=True, slots=True)
class SearchDependencies:
    """Collaborators of the search engine; the daemon creates them at start.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration objects in force.
    registry : TargetRegistry
        Statistics of the targets, and which of them may get new work.
    held_versions : HeldVersionsTable
        Last known data versions of each target.
    client : TargetClient
        Sends subrequests to targets.
    chooser : TargetChooser
        Chooses one of the targets of a shard.
    tail_tolerance : TailTolerances
        Hedge policy and retry budget of each service.
    admission : Admission
        Reports the utilization of the tier; hedges and retries stop when it is high.
    observer : TargetObserver
        Updates the shared statistics from answers, failures and reports.
    tracer : Tracer
        Records finished spans.
    clock : Clock
        Monotonic clock.
    rng : random.Random
        Random number generator.
    """

    catalogue: Catalogue
    registry: TargetRegistry
    held_versions: HeldVersionsTable
    client: TargetClient
    chooser: TargetChooser
    tail_tolerance: TailTolerances
    admission: Admission
    observer: TargetObserver
    tracer: Tracer
    clock: Clock
    rng: random.Random
