"""Settings from flags and environment variables; all problems are reported at once."""

import ipaddress
import os
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from urllib.parse import urlsplit

from cassiastair.errors import SettingsError
from cassiastair.tickets.fields import is_name

ENV_PREFIX = "CASSIASTAIRD_"
LOG_LEVELS = ("debug", "info", "warning", "error")
TARGET_CHOICES = ("evidence", "random", "report")
ADMISSIONS = ("adaptive", "open")


def setting(default, doc: str, kind: str):
    """Return the dataclass field of one setting.

    Parameters
    ----------
    default : str or int
        Value if neither the flag nor the environment variable is given.
    doc : str
        Meaning of the setting, shown in the help text and on the settings page.
    kind : str
        Key of `CHECKS`, ``port``, or a range of integers such as ``1..100``.
    """
    return field(default=default, metadata={"doc": doc, "kind": kind})


@dataclass(frozen=True)
class Settings:
    """Validated settings of one daemon."""

    vm: str = setting("", "name of this VM, unique in the fleet", "name")
    data_centre: str = setting("", "data centre of this VM", "name")
    host: str = setting("", "IP number to listen on, as others reach it", "ip")
    api_port: int = setting(0, "TCP port for callers; 0 lets the system choose", "port")
    peer_port: int = setting(0, "TCP port for peers; 0 lets the system choose", "port")
    platform_url: str = setting("", "URL of the configuration service", "url")
    peers: str = setting("", "HOST:PORT of peers to start with, by commas", "peers")
    vm_count: int = setting(7, "VMs that share the targets' connections", "1..100000")
    degree: int = setting(6, "peer links inside the data centre", "2..64")
    cross_degree: int = setting(2, "peer links to other data centres", "2..16")
    max_body_bytes: int = setting(65536, "largest body of a caller", "1..1000000")
    memory_mb: int = setting(
        300, "memory that the process may use, in MB; callers share it", "64..1000000"
    )
    idle_timeout_ms: int = setting(
        60000, "time after which an idle connection of a caller is closed", "1..3600000"
    )
    transfer_timeout_ms: int = setting(
        15000,
        "time for a request to arrive, and for its answer to be read",
        "1..3600000",
    )
    drain_lag_ms: int = setting(
        3000, "time that the balancer may still send work after SIGTERM", "0..600000"
    )
    hard_stop_ms: int = setting(
        60000, "time after SIGTERM at which the process ends regardless", "1..3600000"
    )
    target_choice: str = setting(
        "evidence", "how targets are chosen; the others are baselines", "choice"
    )
    admission: str = setting(
        "adaptive", "how queries are admitted; open refuses nothing", "admission"
    )
    log_level: str = setting("info", "lowest level that is logged", "level")


def read_settings(flags: Mapping[str, object], env: Mapping[str, str]) -> Settings:
    """Return validated settings; a flag takes precedence over its variable.

    Raises
    ------
    SettingsError
        If any setting is invalid or unknown; the message lists all problems.
    """
    problems: list[str] = []
    values = {}
    for setting_field in fields(Settings):
        variable = ENV_PREFIX + setting_field.name.upper()
        raw = flags.get(setting_field.name)
        origin = f"--{setting_field.name}"
        if raw is None:
            raw = env.get(variable)
            origin = variable
        if raw is None:
            raw = setting_field.default
            origin = f"--{setting_field.name} or {variable}"
        values[setting_field.name] = read_value(
            raw, setting_field.metadata["kind"], origin, problems
        )
    unknown = sorted(set(flags) - set(values))
    problems += [f"--{name}: unknown; see --help" for name in unknown]
    prefixed = {name for name in env if name.startswith(ENV_PREFIX)}
    known = {ENV_PREFIX + name.upper() for name in values}
    problems += [f"{name}: unknown; see --help" for name in sorted(prefixed - known)]
    if problems:
        raise SettingsError("\n".join(problems))
    return Settings(**values)


def read_value(raw: object, kind: str, origin: str, problems: list[str]):
    """Return the value of a setting; add a problem if it is not valid for its kind."""
    text = str(raw).strip()
    if ".." in kind:
        low, high = map(int, kind.split(".."))
        return read_integer(text, low, high, origin, problems)
    if kind == "port":
        return read_integer(text, 0, 65535, origin, problems)
    check, message = CHECKS[kind]
    if not check(text):
        problems.append(f"{origin}: is {text!r}, must be {message}")
    return text


def read_integer(text: str, low: int, high: int, origin: str, problems: list[str]):
    """Return an integer; add a problem unless it is from ``low`` to ``high``."""
    if text.isascii() and text.isdigit() and low <= int(text) <= high:
        return int(text)
    problems.append(f"{origin}: is {text!r}, must be an integer from {low} to {high}")
    return low


def is_ip(text: str) -> bool:
    """Return True if a text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def is_peer_list(text: str) -> bool:
    """Return True if a text is a list of HOST:PORT, separated by commas."""
    for address in filter(None, text.split(",")):
        host, _, port = address.strip().rpartition(":")
        if not is_ip(host) or not port.isdigit() or not 0 < int(port) < 65536:
            return False
    return True


def is_url(text: str) -> bool:
    """Return True if a text is an absolute HTTP or HTTPS URL."""
    url = urlsplit(text)
    return url.scheme in ("http", "https") and bool(url.hostname)


CHECKS = {
    "name": (is_name, "a name: lower-case letters, digits, '.' and '-'"),
    "ip": (is_ip, "an IP address, such as 10.1.2.3"),
    "peers": (is_peer_list, "HOST:PORT with IP addresses, separated by commas"),
    "url": (is_url, "a URL that starts with http:// or https://"),
    "choice": (TARGET_CHOICES.__contains__, f"one of {', '.join(TARGET_CHOICES)}"),
    "admission": (ADMISSIONS.__contains__, f"one of {', '.join(ADMISSIONS)}"),
    "level": (LOG_LEVELS.__contains__, f"one of {', '.join(LOG_LEVELS)}"),
}


def parse_peers(text: str) -> list[tuple[str, int]]:
    """Return the host and the port of each peer in a validated list."""
    addresses = []
    for address in filter(None, text.split(",")):
        host, _, port = address.strip().rpartition(":")
        addresses.append((host, int(port)))
    return addresses


def read_process_settings(flags: Mapping[str, object]) -> Settings:
    """Return validated settings from flags and the environment of this process."""
    return read_settings(flags, os.environ)
