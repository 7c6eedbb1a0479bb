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
    """Run the plans of some seeds and print the result of each.

    Exits with status 1 if a seed fails.

    Parameters
    ----------
    seeds : int
        Number of seeds.
    seed : int, optional
        Only seed to run, for example one that failed.
    first : int
        First of consecutive seeds; 0 derives it from the time of day.
    keep : str
        Folder for the settings and logs of all seeds; if empty, they are deleted.
    """
    first_seed = first or int(time.time() * 1000) % 1_000_000_000
    chosen = [seed] if seed is not None else [first_seed + n for n in range(seeds)]
    failed = 0
    for number in chosen:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(keep) / f"soak-{number}" if keep else Path(folder)
            soak = Soak(number, path)
            print(f"seed {number}:", *soak.describe(), sep="\n  ", flush=True)
            violations = soak.run()
        for line in soak.early_ends:
            print(f"  before its first instruction: {line}", flush=True)
        print(f"  largest process: {soak.peak_bytes / 1e6:.0f} MB", flush=True)
        failed += bool(violations)
        print(f"seed {number}: {'FAILED' if violations else 'passed'}", flush=True)
        for line in violations[:20]:
            print(f"  {line}", flush=True)
    print(f"{len(chosen) - failed} passed, {failed} failed", flush=True)
    sys.exit(1 if failed else 0)


def raise_on_signals() -> None:
    """Raise KeyboardInterrupt on SIGINT and SIGTERM, so that the VMs are stopped.

    Python installs no handler for SIGINT itself if the signal is ignored, as it is
    in background jobs of a shell.
    """
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)


if __name__ == "__main__":
    raise_on_signals()
    fire.Fire(run_soak)
