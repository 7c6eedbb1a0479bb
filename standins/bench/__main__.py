"""Runs all benchmarks in their short form and prints one JSON line for each aim."""

import eventlet

eventlet.monkey_patch()

import sys  # noqa: E402
import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402

from ..session import Session  # noqa: E402
from . import dissemination, hot_path, surge, tail  # noqa: E402
from .aim import Aim  # noqa: E402

RUN_SECONDS = 6.0  # length of each counted phase


def measure_hot_path() -> list[Aim]:
    """Measure the processor time of a subrequest in the daemon and its client."""
    with tempfile.TemporaryDirectory() as folder, Session(Path(folder)) as session:
        hot_path.start(session)
        costs = hot_path.measure(session)
    ratio = costs.daemon_us / costs.bare_us
    name = "processor time of a subrequest / a bare green socket's"
    return [Aim(name, 2.5, ratio, costs.client_us / costs.bare_us)]


def measure_surge() -> list[Aim]:
    """Measure a surge of queries with and without admission control."""
    with tempfile.TemporaryDirectory() as folder, Session(Path(folder)) as session:
        surge.start(session)
        return surge.measure(session)


def measure_tail() -> list[Aim]:
    """Measure tail latency, dissemination, connections and the loss of targets."""
    with tempfile.TemporaryDirectory() as folder, Session(Path(folder)) as session:
        tail.start(session)
        aims = tail.measure_slow_targets(session, RUN_SECONDS)
        aims += tail.measure_false_reports(session, RUN_SECONDS)
        aims += dissemination.measure(session)
        aims += tail.measure_connections(session)
        aims += tail.measure_lost_targets(session, RUN_SECONDS)
        return aims


PARTS = {"hot_path": measure_hot_path, "crest": measure_surge, "tail": measure_tail}


def main() -> None:
    """Run the benchmarks named on the command line, by default all."""
    for name in sys.argv[1:] or PARTS:
        for aim in PARTS[name]():
            print(aim.to_json_line(), flush=True)


if __name__ == "__main__":
    main()
