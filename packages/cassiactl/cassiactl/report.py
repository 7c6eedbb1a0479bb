"""Result of a command: data for scripts and text for people."""

from dataclasses import dataclass

from .exit_status import ExitStatus


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a command.

    Parameters
    ----------
    document : dict
        Data that is printed as JSON, for scripts.
    text : str
        Text that is printed by default, for people.
    status : ExitStatus
        Exit status of the process.
    """

    document: dict
    text: str
    status: ExitStatus = ExitStatus.OK
