"""Writes docs/SETTINGS.md and the help text from the settings' own description."""

import inspect
from dataclasses import fields

from .settings import ENV_PREFIX, Settings

HEAD = """# Settings of cassiastaird

Made from the code by `make settings`; a test compares the two. A flag goes before
its environment variable. All faults are reported at once, with exit status 2.

| flag | environment variable | default | allowed | meaning |
| --- | --- | --- | --- | --- |
"""


def write_page() -> str:
    """Return the page."""
    rows = []
    for item in fields(Settings):
        variable = ENV_PREFIX + item.name.upper()
        default = f"`{item.default}`" if item.default != "" else "(none)"
        kind = item.metadata["kind"]
        doc = item.metadata["doc"]
        flag = f"`--{item.name}`"
        rows.append(f"| {flag} | `{variable}` | {default} | {kind} | {doc} |")
    return HEAD + "\n".join(rows) + "\n"


def write_help(doc: str) -> str:
    """Return the text of ``--help``.

    Parameters
    ----------
    doc : str
        Docstring of the command; what it says before its parameters is shown.
    """
    lines = [inspect.cleandoc(doc).split("\nParameters")[0], "Flags:"]
    lines.append("  --check\n      only check the settings")
    for item in fields(Settings):
        default = f" (default {item.default})" if item.default != "" else ""
        kind = item.metadata["kind"]
        lines.append(f"  --{item.name}=VALUE, or {ENV_PREFIX}{item.name.upper()}")
        lines.append(f"      {item.metadata['doc']}; {kind}{default}")
    return "\n".join(lines)


if __name__ == "__main__":
    print(write_page(), end="")
