"""Entry point of the daemon that forwards by routes: settings, signals, exit status."""

import os
import warnings

# No host name is ever resolved, and eventlet's own resolver takes 10 MB.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# Eventlet warns that it is deprecated; docs/design/style.md says why it is used.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import signal  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable, Mapping  # noqa: E402

from cassiastair.clock import Clock  # noqa: E402
from cassiastair.errors import SettingsError  # noqa: E402
from cassiastair.forwarding import DecisionLog  # noqa: E402
from eventlet.event import Event  # noqa: E402

from ..error_stream import ErrorStream  # noqa: E402
from ..event_loop import send_once, wait_for_event  # noqa: E402
from ..port_waiter import PORT_WAIT_MARGIN_S, PortWaiter  # noqa: E402
from ..signal_inbox import SignalInbox  # noqa: E402
from .ablation import read_replacements  # noqa: E402
from .boot_clock import BootClock  # noqa: E402
from .entry_daemon import EntryDaemon  # noqa: E402
from .entry_settings import EntrySettings  # noqa: E402
from .event_log import EventLog  # noqa: E402
from .http_codec import HttpCodec  # noqa: E402
from .item_decoder import ItemDecoder  # noqa: E402

EXIT_BAD_SETTINGS = 2
EXIT_NO_PORT = 3
EXIT_HARD_STOP = 4
EXIT_UNEXPECTED_ERROR = 5
METRICS_PORT_VARIABLE = "CASSIASTAIRD_METRICS_PORT"
DEFAULT_METRICS_PORT = "9102"
MAX_PORT = 65_535
SETTINGS_TIMEOUT_S = 5.0  # for a settings file that is being written
SETTINGS_POLL_S = 0.1


def run_entry_daemon(
    signals: SignalInbox,
    read_settings: Callable[[], EntrySettings],
    codec: HttpCodec,
    decoder: ItemDecoder,
    make_store_client,
) -> None:
    """Run the daemon until a signal stops it, then exit the process.

    With `--check` on the command line, only check the settings and return.

    Parameters
    ----------
    signals : SignalInbox
        Holds the signals received so far.
    read_settings : callable
        Returns the validated settings; raises SettingsError if they are invalid.
    codec : HttpCodec
        Decodes and encodes HTTP messages.
    decoder : ItemDecoder
        Decodes the items of the platform's store.
    make_store_client : callable
        Returns a client of the store, given its host and port and the bound on the
        bytes that it reads at a time.
    """
    if "--check" in sys.argv[1:]:
        check_settings(read_settings)
        return
    open_standard_streams()
    log = EventLog("", BootClock())
    sys.stderr = ErrorStream(lambda text: log.warn("error output", "", text=text))
    try:
        status, cause = run_until_stopped(
            signals, read_settings, codec, decoder, make_store_client, log
        )
    except StopDuringStart:
        status, cause = 0, "stop requested during the start"
    except StartError as error:
        log.warn_last("process ended", status=error.status, cause=str(error))
        os._exit(error.status)
    except BaseException as error:
        log.warn_last(
            "process ended", status=EXIT_UNEXPECTED_ERROR, cause=repr(error), trace=True
        )
        os._exit(EXIT_UNEXPECTED_ERROR)
    log.warn_last("process ended", status=status, cause=cause)
    os._exit(status)  # the other tasks never end


def open_standard_streams() -> None:
    """Open those of the three standard descriptors that are closed.

    Otherwise a socket would get the number, and what is meant for the log.
    """
    for descriptor in range(3):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # gets the lowest free number


class StopDuringStart(Exception):
    """A stop was requested before the daemon was ready to run."""


class StartError(Exception):
    """The daemon cannot start.

    Parameters
    ----------
    cause : str
        Cause and remedy.
    status : int
        Exit status of the process.
    """

    def __init__(self, cause: str, status: int):
        super().__init__(cause)
        self.status = status


def check_settings(read_settings: Callable[[], EntrySettings]) -> None:
    """Print whether the settings are valid; exit the process if they are not."""
    try:
        read_settings()
        read_replacements(os.environ)
        read_metrics_port(os.environ)
    except SettingsError as error:
        print(f"settings are wrong; {error.remedy}:\n{error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    print("settings are right")


def run_until_stopped(
    signals: SignalInbox,
    read_settings: Callable[[], EntrySettings],
    codec: HttpCodec,
    decoder: ItemDecoder,
    make_store_client,
    log: EventLog,
) -> tuple[int, str]:
    """Run the daemon until a signal stops it; see `run_entry_daemon`.

    Returns
    -------
    (int, str)
        Exit status of the process and the cause of its end.

    Raises
    ------
    StartError
        If the settings are invalid or a port cannot be opened.
    StopDuringStart
        If a stop is requested before the daemon runs.
    """
    stop_requested = Event()

    def request_stop() -> None:
        """Request a stop; further signals have no effect."""
        if not stop_requested.ready():
            eventlet.spawn_n(send_once, stop_requested)

    signals.set_handler(signal.SIGTERM, request_stop)
    signals.set_handler(signal.SIGINT, request_stop)
    clock = BootClock()

    def sleep(seconds: float) -> None:
        """Wait during the start; raise StopDuringStart after a stop signal."""
        eventlet.sleep(seconds)
        if stop_requested.ready():
            raise StopDuringStart

    try:
        replace_part = read_replacements(os.environ)
        metrics_port = read_metrics_port(os.environ)
        settings = wait_for_settings(read_settings, clock, sleep, log)
    except SettingsError as error:
        cause = f"settings are wrong; {error.remedy}: {error}"
        raise StartError(cause, EXIT_BAD_SETTINGS) from error
    log.vm = settings.vm
    ports = PortWaiter(
        sleep,
        settings.stop_grace_s + PORT_WAIT_MARGIN_S,
        lambda event, **fields: log.warn(event, "", **fields),
    )
    try:
        daemon = EntryDaemon(
            settings,
            codec,
            decoder,
            make_store_client,
            log,
            ports,
            metrics_port,
            replace_part,
        )
    except OSError as error:
        cause = f"cannot listen; choose free ports: {error}"
        raise StartError(cause, EXIT_NO_PORT) from error
    sleep(0)
    daemon.start()
    signals.set_handler(signal.SIGHUP, lambda: daemon.request_reload(read_settings))

    def report(error: Exception) -> None:
        """Log an error that ended the event loop."""
        log.warn("event loop ended", "", reason=repr(error), trace=True)

    wait_for_event(stop_requested, report)
    if daemon.stop():
        return 0, "stop requested"
    return EXIT_HARD_STOP, "stop requested; requests were answered unfinished"


def read_metrics_port(environment: Mapping[str, str]) -> int:
    """Return the port of the metrics page.

    Raises
    ------
    SettingsError
        If the variable is not a port.
    """
    text = environment.get(METRICS_PORT_VARIABLE, DEFAULT_METRICS_PORT)
    if not (text.isascii() and text.isdigit() and 1 <= int(text) <= MAX_PORT):
        raise SettingsError(f"{METRICS_PORT_VARIABLE}: {text[:80]!r} is not a port")
    return int(text)


def wait_for_settings(
    read_settings: Callable[[], EntrySettings],
    clock: Clock,
    sleep: Callable[[float], None],
    log: DecisionLog,
) -> EntrySettings:
    """Return the settings once they are valid; they may be written during the start.

    Raises
    ------
    SettingsError
        If they are still invalid after SETTINGS_TIMEOUT_S.
    """
    deadline = clock.now() + SETTINGS_TIMEOUT_S
    is_first = True
    while True:
        try:
            return read_settings()
        except SettingsError as error:
            if clock.now() >= deadline:
                raise
            if is_first:
                log.warn("settings not usable yet", "", reason=error.message[:500])
            is_first = False
        sleep(SETTINGS_POLL_S)
