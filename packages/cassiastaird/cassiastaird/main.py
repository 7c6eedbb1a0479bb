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
from .error_stream import ErrorStream  # noqa: E402
from .event_loop import send_once, wait_for_event  # noqa: E402
from .logs import configure_logging  # noqa: E402
from .port_waiter import PORT_WAIT_MARGIN_S, PortWaiter  # noqa: E402
from .settings import Settings, read_process_settings  # noqa: E402
from .settings_page import format_help  # noqa: E402
from .signal_inbox import SignalInbox  # noqa: E402

EXIT_BAD_SETTINGS = 2
EXIT_NO_PORT = 3
EXIT_HARD_STOP = 4


def serve(signals: SignalInbox, check: bool = False, **flags) -> None:
    """Run the entry daemon of the cassiastair query tier.

    Every setting is a flag, such as --vm=tallinn-1, or an environment variable,
    such as CASSIASTAIRD_VM; docs/SETTINGS.md lists them. Required are vm,
    data_centre, host and platform_url. On start the daemon prints one JSON line
    with its ports. SIGTERM drains and stops it; no request in progress is cut.

    Parameters
    ----------
    signals : SignalInbox
        Holds the signals received so far; not a flag.
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
    # The log itself goes to the original stream.
    sys.stderr = ErrorStream(lambda text: logger.error("error output", text=text))
    start_and_run(settings, signals)


def start_and_run(settings: Settings, signals: SignalInbox) -> None:
    """Start the daemon and run it until a signal stops it, then end the process."""
    stopping = Event()

    def request_stop() -> None:
        """Request the drain; signals after the first have no effect."""
        if not stopping.ready():
            eventlet.spawn_n(send_once, stopping)

    def sleep(seconds: float) -> None:
        """Wait during the start; end the process after a stop signal."""
        eventlet.sleep(seconds)
        if stopping.ready():
            logger.info("process ended", status=0, cause="stop requested")
            os._exit(0)

    signals.set_handler(signal.SIGTERM, request_stop)
    signals.set_handler(signal.SIGINT, request_stop)
    signals.set_handler(signal.SIGHUP, report_reload)
    timeout_s = settings.hard_stop_ms / 1000 + PORT_WAIT_MARGIN_S
    ports = PortWaiter(sleep, timeout_s, logger.info)
    try:
        daemon = Daemon(settings, ports)
    except OSError as error:
        logger.error("cannot listen; choose free ports", reason=str(error))
        sys.exit(EXIT_NO_PORT)
    sleep(0)
    run_until_stopped(daemon, stopping)


def report_reload() -> None:
    """Log that SIGHUP changes nothing: the settings are flags and variables."""
    logger.warning("settings are read at the start only; restart to change them")


def run_until_stopped(daemon: Daemon, stopping: Event) -> None:
    """Run the daemon until a stop is requested, then drain it and end the process."""
    daemon.start()
    own = daemon.own
    ready_line = {"vm": own.name, "api_port": own.api_port, "peer_port": own.peer_port}
    print(orjson.dumps(ready_line).decode(), flush=True)
    wait_for_event(
        stopping, lambda error: logger.opt(exception=error).error("event loop ended")
    )
    status = 0 if daemon.stop() else EXIT_HARD_STOP
    logger.info("process ended", status=status, cause="stop requested")
    os._exit(status)  # background tasks still run


def main(signals: SignalInbox) -> None:
    """Parse the command line and run the daemon."""

    def command(check: bool = False, **flags) -> None:
        serve(signals, check, **flags)

    command.__doc__ = serve.__doc__
    fire.Fire(command, name="cassiastaird")
