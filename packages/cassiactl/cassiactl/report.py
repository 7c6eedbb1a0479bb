"""What a command has found: data for scripts and text for people."""

from dataclasses import dataclass

from .exit_status import ExitStatus


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command.

    Parameters
    ----------
    document : dict
        For scripts.
    text : str
        For people.
    status : ExitStatus
        Exit status.
    """

    document: dict
    text: str
    status: ExitStatus = ExitStatus.OK
