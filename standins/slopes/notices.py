"""Slopes of telling peers what targets say of themselves: bytes by targets.

Drains of the own protocol are told with `Leaving`. Pauses are not told to peers; they
are measured in the form of `LimitReports`, which has the same fields.
"""

import random

from cassiastair.forwarding.target_limits import MAX_UNREPORTED
from cassiastair.peers.messages import Leaving, LimitReports
from cassiastaird.peers.codec import encode

from .fit import Slope, fit_line

TARGET_COUNTS = (25, 100, MAX_UNREPORTED)


def measure_drains(target_count: int) -> float:
    """Return the bytes of a message with the drain marks of some targets."""
    marks = [
        [f"target-{number:06d}", f"{1_790_000_000_000_000_000 + number:x}"]
        for number in range(target_count)
    ]
    return float(len(encode(Leaving(marks))))


def measure_pauses(target_count: int) -> float:
    """Return the bytes of a message with the pauses of some targets."""
    rng = random.Random(1)
    reports = []
    for number in range(target_count):
        seconds, age = round(rng.uniform(0.5, 30.0), 3), round(rng.random(), 3)
        reports.append([f"target-{number:06d}", seconds, age])
    return float(len(encode(LimitReports(reports))))


def measure_all() -> list[Slope]:
    """Measure every slope of the notices."""
    return [
        fit_line(
            "bytes of drain marks, by targets",
            [(n, measure_drains(n)) for n in TARGET_COUNTS],
        ),
        fit_line(
            "bytes of pauses, by targets",
            [(n, measure_pauses(n)) for n in TARGET_COUNTS],
        ),
    ]
