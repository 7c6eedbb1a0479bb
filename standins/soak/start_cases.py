"""Cases of starts: a signal at a random moment, and a start beside a predecessor."""

import random
import signal
from dataclasses import dataclass

MAX_SIGNAL_AGE_S = 2.0  # from the start of a process to its signal
NEXT_START_S = (0.1, 3.0)  # from the stop of a process to the start of the next one
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


@dataclass(frozen=True, slots=True)
class StartCase:
    """A start of a VM's process and what happens to it.

    Parameters
    ----------
    number : int
        Number of the case in its run.
    signal_number : int
        Signal that the process gets.
    moment_s : float
        Seconds from the start to the signal; from the signal to the next start if
        the starts overlap.
    is_overlapped : bool
        Whether the next process starts while a ready one stops.
    """

    number: int
    signal_number: int
    moment_s: float
    is_overlapped: bool

    def describe(self) -> str:
        """Return a line that describes the case."""
        if self.is_overlapped:
            return f"case {self.number}: next start {self.moment_s:.3f} s after SIGTERM"
        name = signal.Signals(self.signal_number).name
        return f"case {self.number}: {name} {self.moment_s:.3f} s after the start"


def draw_cases(seed: int, count: int, overlapped: int) -> list[StartCase]:
    """Draw the cases of a seed.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    count : int
        Number of starts with a signal.
    overlapped : int
        Number of starts that overlap a predecessor.
    """
    rng = random.Random(seed)
    cases = [
        StartCase(n, rng.choice(SIGNALS), rng.uniform(0.0, MAX_SIGNAL_AGE_S), False)
        for n in range(count)
    ]
    cases += [
        StartCase(count + n, signal.SIGTERM, rng.uniform(*NEXT_START_S), True)
        for n in range(overlapped)
    ]
    return cases
