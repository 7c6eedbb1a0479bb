"""Applier of the values read from the platform: tickets and the list of VMs."""

from collections import OrderedDict

from cassiastair.data import StorePosition
from cassiastair.membership import MemberList
from cassiastair.peers import TicketNode
from cassiastair.ticket_source import PlatformEntry, parse_vm_list
from cassiastair.tickets import TicketProblem, parse_ticket
from loguru import logger

MAX_REFUSED = 100  # refused values that are kept for the status page
MAX_PROBLEMS_SHOWN = 20  # problems of one value on the status page


class PlatformEntryApplier:
    """Applies published values; a malformed value is refused as a whole and recorded.

    Parameters
    ----------
    node : TicketNode
        Node that merges tickets and disseminates them to the peers.
    members : MemberList
        List of known VMs, to which the listed VMs are added.
    """

    def __init__(self, node: TicketNode, members: MemberList):
        self._node = node
        self._members = members
        self._refused: OrderedDict[str, list[TicketProblem]] = OrderedDict()

    def apply(self, entries: tuple[PlatformEntry, ...]) -> None:
        """Apply the values of a page; unknown keys are ignored."""
        for entry in entries:
            if entry.key.startswith("tickets/"):
                self._apply_ticket(entry)
            elif entry.key == "vms":
                self._apply_vm_list(entry)

    def _apply_ticket(self, entry: PlatformEntry) -> None:
        """Merge a ticket and publish it to the peers; refuse a malformed one."""
        ticket, problems = parse_ticket(entry.value)
        if ticket is None:
            self._record_refused(entry.key, problems)
            return
        self._refused.pop(entry.key, None)
        self._node.publish(ticket)

    def _record_refused(self, key: str, problems: list[TicketProblem]) -> None:
        """Record and log a malformed value; drop the oldest records over the limit."""
        self._refused[key] = problems
        while len(self._refused) > MAX_REFUSED:
            self._refused.popitem(last=False)
        logger.warning("ticket refused", key=key, problems=[str(p) for p in problems])

    def _apply_vm_list(self, entry: PlatformEntry) -> None:
        """Apply the list of live VMs and of draining targets."""
        vm_list = parse_vm_list(entry.value)
        if vm_list is None:
            self._record_refused(
                entry.key, [TicketProblem("vms", "the list is malformed")]
            )
            return
        self._refused.pop(entry.key, None)
        self._members.add_reported(vm_list.vms)
        position = StorePosition(entry.era, vm_list.revision)
        self._node.merge_drain_list(position.to_number(), vm_list.leaving_targets)

    def describe_refused(self) -> dict[str, list[str]]:
        """Return the problems of each refused value by key."""
        return {
            key: [str(problem) for problem in problems[:MAX_PROBLEMS_SHOWN]]
            for key, problems in self._refused.items()
        }
