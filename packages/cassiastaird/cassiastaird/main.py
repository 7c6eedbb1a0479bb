"""Command line of the daemon: flags, settings, signals and exit status."""

import warnings

# Eventlet warns that it is deprecated; docs/design says why it is used nevertheless.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import fire  # noqa: E402
import orjson  # noqa: E402
from cassiastair.errors import SettingsError  # noqa: E402
from eventlet.event import Event  # noqa: E402
from loguru import logger  # noqa: E402

from .daemon import Daemon  # noqa: E402
from .logs import configure_logging  # noqa: E402
from .settings import read_process_settings  # noqa: E402
from .settings_page import format_help  # noqa: E402

EXIT_BAD_SETTINGS = 2
EXIT_NO_PORT = 3
EXIT_HARD_STOP = 4


def serve(check: bool = False, **flags) -> None:
    """Run the entry daemon of the cassiastair query tier.

    Every setting is a flag, such as --vm=tallinn-1, or an environment variable,
    such as CASSIASTAIRD_VM; docs/SETTINGS.md lists them. Required are vm,
    data_centre, host and platform_url. On start the daemon prints one JSON line
    with its ports. SIGTERM drains and stops it; no request in progress is cut.

    Parameters
    ----------
    check : bool
        Only check the settings: exit with 0 if they are right, else with 2.
    **flags
        The settings.
    """
    if flags.pop("help", False):
        print(format_help(serve.__doc__))
        return
    try:
        settings = read_process_settings(flags)
    except SettingsError as error:
        print(f"settings are wrong; {error.remedy}:\n{error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        print("settings are right")
        return
    configure_logging(settings.log_level, settings.vm)
    try:
        daemon = Daemon(settings)
    except OSError as error:
        logger.error("cannot listen; choose free ports", reason=str(error))
        sys.exit(EXIT_NO_PORT)
    run_until_stopped(daemon)


def run_until_stopped(daemon: Daemon) -> None:
    """Run the daemon until SIGTERM or SIGINT, then drain it and end the process."""
    stopping = Event()

    def request_stop(signal_number, frame) -> None:
        """Request the drain; signals after the first have no effect."""
        if not stopping.ready():
            eventlet.spawn_n(send_once, stopping)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    daemon.start()
    own = daemon.own
    ready_line = {"vm": own.name, "api_port": own.api_port, "peer_port": own.peer_port}
    print(orjson.dumps(ready_line).decode(), flush=True)
    stopping.wait()
    all_ended = daemon.stop()
    os._exit(0 if all_ended else EXIT_HARD_STOP)  # background tasks still run


def send_once(event: Event) -> None:
    """Send an event unless it was sent before; a second send is an error."""
    if not event.ready():
        event.send(None)


def main() -> None:
    """Parse the command line and run the daemon."""
    fire.Fire(serve, name="cassiastaird")


if __name__ == "__main__":
    main()
