"""The collaborators of the search engine."""

import random
from dataclasses import dataclass

from ..admission import Admission
from ..clock import Clock
from ..snapshots import HeldTable
from ..targets import TargetChooser, TargetClient, TargetRegistry
from ..tickets import Catalogue
from ..traces import Tracer
from .observer import TargetObserver
from .service_tails import ServiceTails


@dataclass(frozen=True, slots=True)
class SearchParts:
    """What the composition root wires into the engine.

    Parameters
    ----------
    catalogue : Catalogue
        Objects in force.
    fleet : TargetRegistry
        Evidence of the targets.
    held : HeldTable
        Versions that targets hold.
    client : TargetClient
        Sends subrequests.
    chooser : TargetChooser
        Chooses among the targets of a shard.
    tails : ServiceTails
        Hedge policy and retry budget of each service.
    admission : Admission
        Tells how full the tier is.
    observer : TargetObserver
        Learns from what targets say.
    tracer : Tracer
        Takes finished spans.
    clock : Clock
        Source of time.
    source : random.Random
        Source of random numbers.
    """

    catalogue: Catalogue
    fleet: TargetRegistry
    held: HeldTable
    client: TargetClient
    chooser: TargetChooser
    tails: ServiceTails
    admission: Admission
    observer: TargetObserver
    tracer: Tracer
    clock: Clock
    source: random.Random
