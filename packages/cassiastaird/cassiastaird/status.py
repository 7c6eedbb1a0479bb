"""State of the daemon and its targets, shown to operators as JSON."""

import resource
from dataclasses import dataclass
from pathlib import Path

from cassiastair.admission import Admission
from cassiastair.errors import NotFoundError
from cassiastair.membership import DrainingTargets, Freshness
from cassiastair.pauses import PauseDetector
from cassiastair.peers import TicketNode
from cassiastair.snapshots import HeldVersionsTable
from cassiastair.targets import TargetRegistry
from cassiastair.ticket_source import PlatformReader
from cassiastair.tickets import StateMap

from .drain import Drain
from .platform_entry_applier import PlatformEntryApplier
from .targets import HttpTargetClient


@dataclass(frozen=True)
class Status:
    """Collects the content of the status pages from the objects of the daemon."""

    node: TicketNode
    state: StateMap
    registry: TargetRegistry
    held_versions: HeldVersionsTable
    draining_targets: DrainingTargets
    freshness: Freshness
    reader: PlatformReader
    entry_applier: PlatformEntryApplier
    admission: Admission
    client: HttpTargetClient
    pauses: PauseDetector
    drain: Drain

    def describe(self) -> dict:
        """Return the JSON form of the daemon's state."""
        own = self.node.own
        usage = resource.getrusage(resource.RUSAGE_SELF)
        links = self.node.links.values()
        return {
            "vm": own.name,
            "incarnation": own.incarnation,
            "data_centre": own.data_centre,
            "draining": self.drain.draining,
            "in_progress": self.drain.in_progress,
            "tickets": {
                "highest": self.state.highest_ticket,
                "objects": len(self.state.entries),
                "digest": self.state.digest.root.hex(),
                "refused": self.entry_applier.describe_refused(),
            },
            "platform": {
                "age_s": round_age(self.freshness.age),
                "revision": self.reader.revision,
                "calls": self.reader.calls,
                "failures": self.reader.failures,
            },
            "peers": {
                "links": sorted(self.node.links),
                "known": sorted(vm.name for vm in self.node.members.all()),
                "bytes_sent": sum(link.bytes_sent for link in links),
                "bytes_received": sum(link.bytes_received for link in links),
                "repairs": self.node.counts.repairs,
            },
            "targets": {
                "in_force": len(self.state.catalogue.targets),
                "leaving": sorted(
                    {mark.target for mark in self.draining_targets.list_marks()}
                    | self.draining_targets.listed
                ),
                "down": sorted(
                    e.target.name for e in self.registry.list_tracked() if e.down
                ),
                "connections": sum(pool.size for pool in self.client.list_pools()),
                "connections_opened": sum(
                    p.opened_count for p in self.client.list_pools()
                ),
            },
            "admission": {
                "limit": round_limit(self.admission.limit),
                "in_flight": self.admission.in_flight,
            },
            "process": {
                "peak_rss_mb": round(read_peak_memory() / 1024, 1),
                "cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
                "pauses": self.pauses.pause_count,
            },
        }

    def describe_target(self, name: str) -> dict:
        """Return the JSON form of what this VM knows about a target.

        Raises
        ------
        NotFoundError
            If no target of that name is in force.
        """
        target = self.state.catalogue.targets.get(name)
        if target is None:
            raise NotFoundError(f"no target {name[:80]!r} is in force")
        stats = self.registry.get(target)
        held = self.held_versions.get(name) or ()
        return {
            "target": name,
            "service": target.service,
            "data_centre": target.data_centre,
            "address": f"{target.host}:{target.port}",
            "leaving": target.draining or self.draining_targets.is_draining(name),
            "down": stats.down,
            "incarnation": stats.incarnation,
            "in_flight": stats.in_flight,
            "limit": stats.limiter.limit.current,
            "connection_share": self.registry.connection_share(target),
            "latency_ms": None
            if stats.latency is None
            else round(stats.latency * 1000, 3),
            "reported_load": stats.reported_load,
            "held": [[span.epoch, span.low, span.high] for span in held],
        }


def read_peak_memory() -> int:
    """Return the peak resident memory of this process in KiB.

    The value of ``getrusage`` would include the memory of the parent process before
    the daemon was executed.
    """
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    return 0


def round_limit(limit: float) -> int | None:
    """Return a limit as an integer; None if it is infinite."""
    return None if limit == float("inf") else round(limit)


def round_age(age: float) -> float | None:
    """Return an age in seconds; None if it is infinite, which means never."""
    return None if age == float("inf") else round(age, 2)
