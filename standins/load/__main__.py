"""Runs scenario files: python -m standins.load FILE [FILE ...] [--out FOLDER]."""

import eventlet

eventlet.monkey_patch()

import sys  # noqa: E402
import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402

import fire  # noqa: E402

from .report import format_result, plot_results, write_json  # noqa: E402
from .runner import run_scenario  # noqa: E402
from .scenario import ScenarioError, read_scenario  # noqa: E402


def main(*files: str, out: str = "out") -> None:
    """Run scenario files in order and write one report of all results.

    Parameters
    ----------
    *files : str
        Paths of scenario files, such as those in examples/scenarios.
    out : str
        Folder for load.json and load.png; created if missing.
    """
    try:
        scenarios = [read_scenario(Path(file)) for file in files]
    except ScenarioError as error:
        print(f"correct the scenario: {error}", file=sys.stderr)
        sys.exit(2)
    results = []
    for scenario in scenarios:
        with tempfile.TemporaryDirectory() as folder:
            results.append(run_scenario(scenario, Path(folder)))
        print(format_result(results[-1]), flush=True)
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    write_json(results, folder / "load.json")
    plot_results(results, folder / "load.png")
    print(f"written: {folder / 'load.json'}, {folder / 'load.png'}")


if __name__ == "__main__":
    fire.Fire(main)
