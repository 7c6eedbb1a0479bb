"""Reports of load runs: a table, JSON, and a plot."""

from pathlib import Path

import orjson

from .runner import Result

COLUMNS = (
    "sent",
    "answered",
    "answered_in_time_per_s",
    "p50_ms",
    "p95_ms",
    "p99_ms",
    "p99.9_ms",
    "coverage",
    "errors",
)


def format_result(result: Result) -> str:
    """Return a table of a result."""
    document = result.describe()
    lines = [f"Scenario {document['scenario']}"]
    for number, phase in enumerate(document["phases"], 1):
        lines.append(f"  phase {number}, {phase['seconds']} s")
        lines += [f"    {name:<24}{phase[name]}" for name in COLUMNS]
    for name in ("extra_load", "connections_opened", "connections_highest"):
        lines.append(f"  {name:<26}{document[name]}")
    return "\n".join(lines)


def write_json(results: list[Result], path: Path) -> None:
    """Write results as JSON."""
    document = [result.describe() for result in results]
    path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))


def plot_results(results: list[Result], path: Path) -> None:
    """Plot each result's latencies over time and their distribution."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (over_time, spread) = pyplot.subplots(1, 2, figsize=(12, 5))
    for result in results:
        points = [point for measures in result.phases for point in measures.points]
        name = result.scenario.name
        over_time.plot(*zip(*points, strict=True), ".", markersize=2, label=name)
        ordered = sorted(latency for _, latency in points)
        rest = [1 - position / len(ordered) for position in range(len(ordered))]
        spread.loglog(ordered, rest, label=name)
    over_time.set(xlabel="time of arrival, s", ylabel="latency, ms", yscale="log")
    spread.set(xlabel="latency, ms", ylabel="share of answers that took longer")
    spread.legend()
    figure.tight_layout()
    figure.savefig(path)
