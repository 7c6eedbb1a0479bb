"""What comes from the platform: tickets and the list of VMs."""

from collections import OrderedDict

from cassiastair.membership import MemberList
from cassiastair.peers import TicketNode
from cassiastair.ticket_source import PlatformEntry, parse_vm_list
from cassiastair.tickets import TicketProblem, parse_ticket
from loguru import logger

MAX_REFUSED = 100  # refused tickets that are kept for operators
MAX_PROBLEMS_SHOWN = 20


class TicketIntake:
    """Reads published values; a malformed one is refused whole and remembered.

    Parameters
    ----------
    node : PeerNode
        Merges tickets and passes them on.
    roster : Roster
        Takes the listed VMs.
    """

    def __init__(self, node: TicketNode, roster: MemberList):
        self._node = node
        self._roster = roster
        self._refused: OrderedDict[str, list[TicketProblem]] = OrderedDict()

    def take(self, entries: tuple[PlatformEntry, ...]) -> None:
        """Take a page of published values."""
        for entry in entries:
            if entry.key.startswith("tickets/"):
                self._take_ticket(entry)
            elif entry.key == "vms":
                self._take_list(entry)

    def _take_ticket(self, entry: PlatformEntry) -> None:
        """Publish a ticket to the peers, or refuse it."""
        ticket, problems = parse_ticket(entry.value)
        if ticket is None:
            self._refuse(entry.key, problems)
            return
        self._refused.pop(entry.key, None)
        self._node.publish(ticket)

    def _refuse(self, key: str, problems: list[TicketProblem]) -> None:
        """Remember a malformed value with all its problems."""
        self._refused[key] = problems
        while len(self._refused) > MAX_REFUSED:
            self._refused.popitem(last=False)
        logger.warning("ticket refused", key=key, problems=[str(p) for p in problems])

    def _take_list(self, entry: PlatformEntry) -> None:
        """Take the list of live and leaving VMs."""
        listed = parse_vm_list(entry.value)
        if listed is None:
            self._refuse(entry.key, [TicketProblem("vms", "the list is malformed")])
            return
        self._refused.pop(entry.key, None)
        self._roster.add_reported(listed.vms)
        self._node.merge_drain_list(listed.revision, listed.leaving_targets)

    def describe_refused(self) -> dict[str, list[str]]:
        """Return the refused values with their problems."""
        return {
            key: [str(problem) for problem in problems[:MAX_PROBLEMS_SHOWN]]
            for key, problems in self._refused.items()
        }
