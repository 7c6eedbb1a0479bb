"""Prints a table: python -m standins.reuse [--counts 7,60,300,5200] [--plot FILE]."""

import eventlet

eventlet.monkey_patch()

from pathlib import Path  # noqa: E402

import fire  # noqa: E402

from .play import ReuseResult, play_reuse  # noqa: E402
from .plot import write_plot  # noqa: E402
from .policies import POLICIES  # noqa: E402

COUNTS = (7, 60, 300, 5200)
TITLES = ("policy", "VMs", "requests", "for each VM")


def main(counts: tuple[int, ...] = COUNTS, plot: str = "", seed: int = 1) -> None:
    """Count the requests that reach a reused address, by policy and number of VMs.

    Parameters
    ----------
    counts : tuple of int
        Numbers of VMs.
    plot : str
        File for a plot; none if empty.
    seed : int
        Seed of the plays.
    """
    print(" ".join(f"{title:>16}" for title in TITLES), flush=True)
    results: list[ReuseResult] = []
    for vm_count in counts:
        for policy in POLICIES:
            result = play_reuse(policy, vm_count, seed)
            results.append(result)
            share = f"{result.stray_count / vm_count:.2f}"
            cells = (result.policy, vm_count, result.stray_count, share)
            print(" ".join(f"{cell:>16}" for cell in cells), flush=True)
    if plot:
        write_plot(results, Path(plot))


if __name__ == "__main__":
    fire.Fire(main)
