"""Slopes of whole entry daemons.

Cost of idle daemons by number of VMs, calls to the platform by rate of changes, and
cost of a query by number of shards.
"""

import tempfile
import time
from pathlib import Path

import eventlet

from ..layouts import COUNTER_DESK, make_target_change, plan_targets, shrink
from ..session import Session
from .fit import Slope, fit_line

VM_COUNTS = (6, 18, 40)
SHARD_COUNTS = (20, 100, 260)
MEASURED_S = 10.0
SEARCH_COUNT = 40


def measure_idle(count: int) -> dict:
    """Return the mean usage per second of an idle daemon among `count` daemons."""
    with tempfile.TemporaryDirectory() as folder, Session(Path(folder)) as session:
        session.max_seeds = 2  # links beyond the wanted ones close only after a minute
        for number in range(count):
            session.start_daemon(f"vm-{number}", f"dc{number % 3}", log_level="warning")
        session.publish([{"object": "index/none", "state": None}])
        session.wait_until(lambda: is_settled(session, count))
        eventlet.sleep(2.0)
        before = read_usage(session)
        time.sleep(MEASURED_S)
        after = read_usage(session)
    return {key: (after[key] - before[key]) / MEASURED_S / count for key in before}


def is_settled(session: Session, count: int) -> bool:
    """Return True if all daemons have the ticket in force and enough links."""
    statuses = [caller.get("/status").body for caller in session.callers.values()]
    return all(
        s["tickets"]["objects"] and len(s["peers"]["links"]) >= min(count - 1, 3)
        for s in statuses
    )


def read_usage(session: Session) -> dict:
    """Return processor time in s, peer bytes and platform calls of all daemons."""
    total = {"cpu_s": 0.0, "bytes_sent": 0.0, "calls": 0.0}
    for caller in session.callers.values():
        status = caller.get("/status").body
        total["cpu_s"] += status["process"]["cpu_s"]
        total["bytes_sent"] += status["peers"]["bytes_sent"]
        total["calls"] += status["platform"]["calls"]
    return total


def measure_queries() -> list[Slope]:
    """Return the slopes of a daemon's time, connections and memory by shards."""
    times, connections, memory = [], [], []
    for shards in SHARD_COUNTS:
        cpu_ms, open_connections, peak = measure_query(shards)
        times.append((shards, cpu_ms))
        connections.append((shards, open_connections))
        memory.append((shards, peak))
    return [
        fit_line("time of a query, ms by subrequests", times),
        fit_line("connections of a daemon, by targets", connections),
        fit_line("peak memory of a daemon, MB by targets", memory),
    ]


def measure_query(shards: int) -> tuple[float, float, float]:
    """Measure searches over a number of shards.

    Returns
    -------
    tuple of float
        Processor time of a query in ms, open connections to targets, and peak
        memory in MB.
    """
    layout = shrink(COUNTER_DESK, 20)
    with tempfile.TemporaryDirectory() as folder, Session(Path(folder)) as session:
        session.start_targets([layout], work_ms=0.0, connect_ms=0.0)
        session.start_daemon("vm-1", "dc1", vm_count=1, log_level="warning")
        session.publish_layouts([layout], "dc1", shards=shards // 20)
        session.wait_ready(objects=61)
        caller = session.callers["vm-1"]
        body = {"index": layout.index, "query": {"tag": 3}, "deadline_ms": 20_000}
        for _ in range(20):
            caller.post("/v1/search", body)
        cpu_before = caller.get("/status").body["process"]["cpu_s"]
        for _ in range(SEARCH_COUNT):
            reply = caller.post("/v1/search", body)
            assert reply.body["coverage"]["share"] == 1.0, reply
        status = caller.get("/status").body
        cpu_s = status["process"]["cpu_s"] - cpu_before
        open_connections = status["targets"]["connections"]
        return (
            cpu_s / SEARCH_COUNT * 1000,
            open_connections,
            status["process"]["peak_rss_mb"],
        )


def measure_change_calls() -> list[Slope]:
    """Return the slope of six daemons' calls to the platform by rate of changes."""
    points = []
    with tempfile.TemporaryDirectory() as folder, Session(Path(folder)) as session:
        for number in range(6):
            session.start_daemon(f"vm-{number}", f"dc{number % 3}", log_level="warning")
        session.publish([{"object": "index/none", "state": None}])
        session.wait_until(lambda: is_settled(session, 6))
        for rate in (0, 1, 4):
            before = read_usage(session)["calls"]
            publish_at_rate(session, rate, MEASURED_S)
            points.append((rate, (read_usage(session)["calls"] - before) / MEASURED_S))
    return [fit_line("platform calls a second of 6 VMs, by changes a second", points)]


def publish_at_rate(session: Session, rate: int, seconds: float) -> None:
    """Publish `rate` tickets per second for some seconds."""
    end = time.monotonic() + seconds
    plan = plan_targets(COUNTER_DESK)[0]
    while time.monotonic() < end:
        if rate:
            session.publish([make_target_change(plan, 1, "dc1")])
        time.sleep(1.0 / rate if rate else seconds)


def measure_all() -> list[Slope]:
    """Measure every slope of whole daemons."""
    idle = [(count, measure_idle(count)) for count in VM_COUNTS]

    def fit(name: str, key: str, factor: float = 1.0) -> Slope:
        """Fit one kind of usage, times a factor, against the number of VMs."""
        return fit_line(name, [(n, use[key] * factor) for n, use in idle])

    return [
        fit("idle daemon, share of a core by VMs", "cpu_s"),
        fit("idle daemon, peer bytes sent a second by VMs", "bytes_sent"),
        fit("idle daemon, platform calls a second by VMs", "calls"),
        *measure_change_calls(),
        *measure_queries(),
    ]
