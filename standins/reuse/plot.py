"""Plot of the requests that reach a reused address, by the number of VMs."""

from collections.abc import Sequence
from pathlib import Path

from .play import ReuseResult


def write_plot(results: Sequence[ReuseResult], path: Path) -> None:
    """Write a plot with a line for each policy.

    Parameters
    ----------
    results : sequence of ReuseResult
        What the plays have shown.
    path : pathlib.Path
        File to write; its suffix names the format.
    """
    # Starts threads, to which signals of other tests of the process may go.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for policy in dict.fromkeys(result.policy for result in results):
        points = [(r.vm_count, r.stray_count) for r in results if r.policy == policy]
        axes.plot(*zip(*points, strict=True), marker="o", label=policy)
    axes.set_xscale("log")
    axes.set_yscale("symlog", linthresh=1.0)
    axes.set_ylim(bottom=0)
    axes.set_xlabel("VMs")
    axes.set_ylabel("requests to one reused address")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
