"""A problem found in a ticket, with the path of the faulty value."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TicketProblem:
    """One problem; all problems of a ticket are reported together.

    Parameters
    ----------
    path : str
        Path of the faulty value inside the ticket, such as ``changes[2].state.port``.
    message : str
        Description of the problem and of what is expected.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"
