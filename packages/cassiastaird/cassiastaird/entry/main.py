"""Entry point of the daemon that forwards by routes: settings, signals, exit status."""

import os
import warnings

# Names are never looked up, and the library's own resolver takes 10 MB.
os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
# Eventlet announces its own end; docs/design/style.md says why it is used all the same.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import signal  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402

from cassiastair.errors import SettingsError  # noqa: E402
from eventlet.event import Event  # noqa: E402

from .entry_daemon import EntryDaemon  # noqa: E402
from .entry_settings import EntrySettings  # noqa: E402
from .http_codec import HttpCodec  # noqa: E402
from .item_decoder import ItemDecoder  # noqa: E402

EXIT_BAD_SETTINGS = 2
EXIT_NO_PORT = 3
EXIT_HARD_STOP = 4


def run_entry(
    read_settings: Callable[[], EntrySettings],
    dialect: HttpCodec,
    decoder: ItemDecoder,
    open_store,
) -> None:
    """Run the daemon until a signal has stopped it; does not return.

    Parameters
    ----------
    read_settings : callable
        Returns the checked settings.
    dialect : Dialect
        Words requests and answers.
    decoder : ItemDecoder
        Decodes the store's items.
    open_store : callable
        Makes the client of the store.
    """
    try:
        settings = read_settings()
    except SettingsError as error:
        print(f"settings are wrong; {error.remedy}:\n{error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if "--check" in sys.argv[1:]:
        print("settings are right")
        return
    try:
        daemon = EntryDaemon(settings, dialect, decoder, open_store)
    except OSError as error:
        print(f"cannot listen; choose free ports: {error}", file=sys.stderr)
        sys.exit(EXIT_NO_PORT)
    stopping = Event()

    def request_stop(number, frame) -> None:
        """Begin to stop; further signals change nothing."""
        if not stopping.ready():
            eventlet.spawn_n(send_once, stopping)

    def reload(number, frame) -> None:
        """Read the settings again."""
        eventlet.spawn_n(daemon.reload, read_settings)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    signal.signal(signal.SIGHUP, reload)
    daemon.start()
    stopping.wait()
    whole = daemon.stop()
    os._exit(0 if whole else EXIT_HARD_STOP)  # tasks that never end still run


def send_once(event: Event) -> None:
    """Send an event that may have been sent already."""
    if not event.ready():
        event.send(None)
