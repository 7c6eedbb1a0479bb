"""Starts of VMs under signals: `python -m standins.soak.starts --count 200 --seed 7`.

Each VM's process must end by request only, and each VM must be ready afterwards on the
newest settings.
"""

import sys
import tempfile
import time
from pathlib import Path

import eventlet

eventlet.monkey_patch()

import fire  # noqa: E402

from .__main__ import raise_on_signals  # noqa: E402
from .start_cases import draw_cases  # noqa: E402
from .start_run import StartRun  # noqa: E402


def run_starts(
    count: int = 200,
    overlapped: int = 50,
    seed: int | None = None,
    at_once: int = 6,
    keep: str = "",
) -> None:
    """Run the starts of a seed and print what failed.

    Exits with status 1 if a case fails.

    Parameters
    ----------
    count : int
        Number of starts with a signal within two seconds.
    overlapped : int
        Number of starts that overlap a predecessor.
    seed : int, optional
        Seed of the cases; by default it is derived from the time of day.
    at_once : int
        Number of VMs that run cases at the same time.
    keep : str
        Folder for the settings and logs; if empty, they are deleted.
    """
    number = int(time.time() * 1000) % 1_000_000_000 if seed is None else seed
    print(f"seed {number}: {count} starts, {overlapped} overlapped", flush=True)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(keep) / f"starts-{number}" if keep else Path(folder)
        run = StartRun(draw_cases(number, count, overlapped), path, at_once)
        results = run.run()
    for result in results:
        for line in result.violations:
            print(f"FAILED {result.case.describe()}: {line}", flush=True)
    print_early(results)
    print(f"a program's first handler: {run.earliest_s:.3f} s of processor time")
    print_ages("handlers of the VM", [r.handled_s for r in results if r.handled_s])
    failed = sum(bool(result.violations) for result in results)
    early = sum(result.is_early for result in results)
    print(f"{len(results) - failed - early} passed, {failed} failed", flush=True)
    sys.exit(1 if failed else 0)


def print_early(results: list) -> None:
    """Print the cases whose signal came before any program could have handled it."""
    early = [result for result in results if result.is_early]
    print(f"{len(early)} ended by a signal before their first instruction", flush=True)
    for result in early:
        print(f"  {result.case.describe()}: {result.early_end}")


def print_ages(label: str, ages: list[float]) -> None:
    """Print the smallest, middle and largest age in seconds, if there is any."""
    ages = sorted(ages)
    if ages:
        middle = ages[len(ages) // 2]
        print(f"{label}: {ages[0]:.3f} to {ages[-1]:.3f} s, median {middle:.3f} s")


if __name__ == "__main__":
    raise_on_signals()
    fire.Fire(run_starts)
