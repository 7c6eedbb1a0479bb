"""The collaborators of the search engine."""

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
    """What the composition root wires into the engine.

    Parameters
    ----------
    catalogue : Catalogue
        Objects in force.
    registry : TargetRegistry
        Evidence of the targets.
    held : HeldVersionsTable
        Versions that targets hold.
    client : TargetClient
        Sends subrequests.
    chooser : TargetChooser
        Chooses among the targets of a shard.
    tail_tolerance : TailTolerances
        Hedge policy and retry budget of each service.
    admission : Admission
        Tells how full the tier is.
    observer : TargetObserver
        Learns from what targets say.
    tracer : Tracer
        Takes finished spans.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.
    """

    catalogue: Catalogue
    registry: TargetRegistry
    held: HeldVersionsTable
    client: TargetClient
    chooser: TargetChooser
    tail_tolerance: TailTolerances
    admission: Admission
    observer: TargetObserver
    tracer: Tracer
    clock: Clock
    rng: random.Random
