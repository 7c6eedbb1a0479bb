"""The platform's list of live and leaving VMs, which lags."""

from dataclasses import dataclass

import orjson

from ..data import Vm

MAX_VMS = 100_000


@dataclass(frozen=True, slots=True)
class VmList:
    """One revision of the list.

    Parameters
    ----------
    revision : int
        Number of the list's revision.
    vms : tuple of Vm
        Entry VMs that are live, without an incarnation.
    leaving_targets : tuple of str
        Names of the targets whose VMs are leaving.
    """

    revision: int
    vms: tuple[Vm, ...]
    leaving_targets: tuple[str, ...]


def parse_vm_list(raw: bytes) -> VmList | None:
    """Read the list; None if it is malformed."""
    try:
        document = orjson.loads(raw)
        vms = tuple(_read_vm(item) for item in document["vms"][:MAX_VMS])
        leaving = tuple(str(name) for name in document["leaving_targets"])
        return VmList(int(document["revision"]), vms, leaving)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None


def _read_vm(item: dict) -> Vm:
    """Read one VM of the list."""
    return Vm(
        name=str(item["name"]),
        incarnation="",
        data_centre=str(item["data_centre"]),
        host=str(item["host"]),
        api_port=int(item["api_port"]),
        peer_port=int(item["peer_port"]),
    )
