"""A fault in a ticket, with its place."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TicketProblem:
    """One fault; all faults of a ticket are reported together.

    Parameters
    ----------
    path : str
        Path of the faulty value inside the ticket, such as ``changes[2].state.port``.
    message : str
        What is wrong and what is expected.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"
