"""The platform's list of live entry VMs and draining targets.

The list may lag behind the real state of the VMs.
"""

from dataclasses import dataclass

import orjson

from ..data import MAX_REVISION, Vm

MAX_VMS = 100_000  # further VMs of a list are ignored


@dataclass(frozen=True, slots=True)
class VmList:
    """One revision of the list of VMs.

    Parameters
    ----------
    revision : int
        Revision of the list; a higher one replaces a lower one.
    vms : tuple of Vm
        Live entry VMs; the list does not know their incarnations.
    leaving_targets : tuple of str
        Names of the targets that are draining because their VMs leave.
    """

    revision: int
    vms: tuple[Vm, ...]
    leaving_targets: tuple[str, ...]


def parse_vm_list(raw: bytes) -> VmList | None:
    """Parse the JSON text of the list; return None if it is malformed."""
    try:
        document = orjson.loads(raw)
        vms = tuple(_read_vm(item) for item in document["vms"][:MAX_VMS])
        leaving_targets = tuple(str(name) for name in document["leaving_targets"])
        revision = int(document["revision"])
        if not 0 <= revision <= MAX_REVISION:
            raise ValueError(f"{revision} is not a revision")
        return VmList(revision, vms, leaving_targets)
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None


def _read_vm(item: dict) -> Vm:
    """Return one VM of the list, with an empty incarnation."""
    return Vm(
        name=str(item["name"]),
        incarnation="",
        data_centre=str(item["data_centre"]),
        host=str(item["host"]),
        api_port=int(item["api_port"]),
        peer_port=int(item["peer_port"]),
    )
