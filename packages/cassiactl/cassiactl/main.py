"""Command line, made by fire from the methods of `Commands`."""

import sys

import fire
import orjson

from .check import check_ticket
from .daemon_client import UnreachableError
from .exit_status import ExitStatus
from .explain import explain
from .follow import follow
from .losses import show_losses
from .report import Report
from .state import show_state
from .tickets import show_tickets


class Commands:
    """Command line tool for the operators of the cassiastair query tier.

    A daemon is given as HOST:PORT of its interface for callers. Each command
    prints a table, or JSON with --json. Exit status: 0 no problems, 1 problems were
    found, 2 the command line is wrong, 3 a daemon could not be reached, 4 there is no
    data about the given target, trace or request.
    """

    def check(self, file: str, daemon: str | None = None, json: bool = False) -> None:
        """Check a ticket file before it is published and list all its problems.

        Parameters
        ----------
        file : str
            JSON file of the ticket.
        daemon : str
            HOST:PORT of a daemon whose state in force the ticket is checked against.
        json : bool
            Print JSON.
        """
        run_and_exit(lambda: check_ticket(str(file), daemon), json)

    def state(self, daemon: str, kind: str | None = None, json: bool = False) -> None:
        """Show the objects in force at a daemon.

        Parameters
        ----------
        daemon : str
            HOST:PORT of the daemon.
        kind : str
            Show only one kind: index, service or target.
        json : bool
            Print JSON.
        """
        run_and_exit(lambda: show_state(daemon, kind), json)

    def tickets(self, *daemons: str, json: bool = False) -> None:
        """Show the highest ticket in force on each VM and whether the VMs agree.

        Parameters
        ----------
        *daemons : str
            HOST:PORT of each daemon.
        json : bool
            Print JSON.
        """
        if not daemons:
            print("name at least one daemon as HOST:PORT", file=sys.stderr)
            sys.exit(ExitStatus.USAGE)
        run_and_exit(lambda: show_tickets(list(daemons)), json)

    def explain(self, daemon: str, name: str, json: bool = False) -> None:
        """Explain a target by its name, or a query by its trace ID.

        Parameters
        ----------
        daemon : str
            HOST:PORT of the daemon.
        name : str
            Name of a target, or trace ID of a query.
        json : bool
            Print JSON.
        """
        run_and_exit(lambda: explain(daemon, str(name)), json)

    def follow(self, file: str, request: str, json: bool = False) -> None:
        """Show the log lines of a request and the state that its VMs were in.

        Parameters
        ----------
        file : str
            File with log lines of one or more VMs; - for standard input.
        request : str
            Caller's ID of the attempt.
        json : bool
            Print JSON.
        """
        run_and_exit(lambda: follow(str(file), str(request)), json)

    def losses(self, file: str, interval: float = 5.0, json: bool = False) -> None:
        """Show what callers lost, by route, time and cause.

        Parameters
        ----------
        file : str
            File with log lines of one or more VMs.
        interval : float
            Length of the intervals of the table by time, in seconds.
        json : bool
            Print JSON.
        """
        run_and_exit(lambda: show_losses(str(file), float(interval)), json)


def run_and_exit(command, as_json: bool) -> None:
    """Run a command, print its report and exit with its status.

    Parameters
    ----------
    command : callable
        Returns the report.
    as_json : bool
        Print the report's document as JSON instead of its text.
    """
    try:
        report: Report = command()
    except UnreachableError as error:
        print(f"cannot reach the daemon; check HOST:PORT: {error}", file=sys.stderr)
        sys.exit(ExitStatus.UNREACHABLE)
    except OSError as error:
        print(f"cannot read the file: {error}", file=sys.stderr)
        sys.exit(ExitStatus.USAGE)
    if as_json:
        print(orjson.dumps(report.document, option=orjson.OPT_INDENT_2).decode())
    else:
        print(report.text)
    sys.exit(report.status)


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands(), name="cassiactl")


if __name__ == "__main__":
    main()
