"""Reports of load runs: a table, JSON, and a plot."""

from pathlib import Path

import orjson

from .runner import RunResult

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


def format_result(result: RunResult) -> str:
    """Return a result as a table in plain text."""
    document = result.to_dict()
    lines = [f"Scenario {document['scenario']}"]
    for number, phase in enumerate(document["phases"], 1):
        lines.append(f"  phase {number}, {phase['seconds']} s")
        lines += [f"    {name:<24}{phase[name]}" for name in COLUMNS]
    for name in ("extra_load", "connections_opened", "connections_highest"):
        lines.append(f"  {name:<26}{document[name]}")
    return "\n".join(lines)


def write_json(results: list[RunResult], path: Path) -> None:
    """Write results to a JSON file."""
    document = [result.to_dict() for result in results]
    path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))


def plot_results(results: list[RunResult], path: Path) -> None:
    """Plot the latencies of each result over time, and their tail distribution."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (over_time, distribution) = pyplot.subplots(1, 2, figsize=(12, 5))
    for result in results:
        points = [point for measures in result.phases for point in measures.points]
        name = result.scenario.name
        over_time.plot(*zip(*points, strict=True), ".", markersize=2, label=name)
        sorted_latencies = sorted(latency for _, latency in points)
        shares_above = [
            1 - position / len(sorted_latencies)
            for position in range(len(sorted_latencies))
        ]
        distribution.loglog(sorted_latencies, shares_above, label=name)
    over_time.set(xlabel="time of arrival, s", ylabel="latency, ms", yscale="log")
    distribution.set(xlabel="latency, ms", ylabel="share of answers that took longer")
    distribution.legend()
    figure.tight_layout()
    figure.savefig(path)
