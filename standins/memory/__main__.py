"""Prints a table: python -m standins.memory [--memory_mb 300] [--counts 100,1000]."""

import eventlet

eventlet.monkey_patch()

import fire  # noqa: E402

from .stalls import KINDS, measure_all  # noqa: E402

COUNTS = (0, 100, 1000, 3000)
TITLES = ("stalled in", "callers", "limit", "idle", "peak", "after", "served", "sent")


def main(
    memory_mb: int = 300,
    kinds: tuple[str, ...] = KINDS,
    counts: tuple[int, ...] = COUNTS,
) -> None:
    """Measure a VM's memory, in MB, and service while callers stall.

    Parameters
    ----------
    memory_mb : int
        Memory limit of the VM.
    kinds : tuple of str
        Where callers stall.
    counts : tuple of int
        Numbers of callers that stall.
    """
    print(" ".join(f"{title:>10}" for title in TITLES), flush=True)
    for result in measure_all(memory_mb, tuple(kinds), tuple(counts)):
        memory = (result.idle_mb, result.peak_mb, result.after_mb)
        cells = (
            result.kind,
            result.count,
            result.memory_mb,
            *(f"{value:.1f}" for value in memory),
            result.served,
            result.sent,
        )
        print(" ".join(f"{cell:>10}" for cell in cells), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
