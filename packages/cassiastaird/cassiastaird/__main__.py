"""Entry point of the daemon, which receives signals before all other imports."""

from .signal_inbox import SignalInbox

SIGNALS = SignalInbox()

from .main import main as run_command_line  # noqa: E402


def main() -> None:
    """Run the daemon's command line."""
    run_command_line(SIGNALS)


if __name__ == "__main__":
    main()
