"""Command line of the soak: `python -m standins.soak --seeds 5` or `--seed 7`."""

import signal
import sys
import tempfile
import time
from pathlib import Path

import eventlet

eventlet.monkey_patch()

import fire  # noqa: E402

from .soak import Soak  # noqa: E402


def run_soak(
    seeds: int = 3, seed: int | None = None, first: int = 0, keep: str = ""
) -> None:
    """Play plans and print the verdict of each.

    Parameters
    ----------
    seeds : int
        Number of seeds.
    seed : int, optional
        One seed to play again.
    first : int
        First seed; 0 draws fresh ones from the time of day.
    keep : str
        Folder for the logs of failed seeds; they are dropped if it is empty.
    """
    start = first or int(time.time() * 1000) % 1_000_000_000
    chosen = [seed] if seed is not None else [start + n for n in range(seeds)]
    failed = 0
    for number in chosen:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(keep) / f"soak-{number}" if keep else Path(folder)
            soak = Soak(number, path)
            print(f"seed {number}:", *soak.describe(), sep="\n  ", flush=True)
            broken = soak.run()
        failed += bool(broken)
        print(f"seed {number}: {'FAILED' if broken else 'passed'}", flush=True)
        for line in broken[:20]:
            print(f"  {line}", flush=True)
    print(f"{len(chosen) - failed} passed, {failed} failed", flush=True)
    sys.exit(1 if failed else 0)


def handle_ends() -> None:
    """Let SIGINT and SIGTERM end the soak like ctrl-C, so that its processes end too.

    A shell starts background jobs with SIGINT ignored.
    """
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)


if __name__ == "__main__":
    handle_ends()
    fire.Fire(run_soak)
