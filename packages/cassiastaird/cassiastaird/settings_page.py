"""Generator of docs/SETTINGS.md and of the help text from class `Settings`."""

import inspect
from dataclasses import fields

from .settings import ENV_PREFIX, Settings

PAGE_HEADER = """# Settings of cassiastaird

Made from the code by `make settings`; a test compares the two. A flag goes before
its environment variable. All faults are reported at once, with exit status 2.

| flag | environment variable | default | allowed | meaning |
| --- | --- | --- | --- | --- |
"""


def format_page() -> str:
    """Return the content of docs/SETTINGS.md."""
    rows = []
    for field in fields(Settings):
        variable = ENV_PREFIX + field.name.upper()
        default = f"`{field.default}`" if field.default != "" else "(none)"
        kind = field.metadata["kind"]
        doc = field.metadata["doc"]
        flag = f"`--{field.name}`"
        rows.append(f"| {flag} | `{variable}` | {default} | {kind} | {doc} |")
    return PAGE_HEADER + "\n".join(rows) + "\n"


def format_help(doc: str) -> str:
    """Return the text of ``--help``.

    Parameters
    ----------
    doc : str
        Docstring of the command; the part before its parameters is shown.
    """
    lines = [inspect.cleandoc(doc).split("\nParameters")[0], "Flags:"]
    lines.append("  --check\n      only check the settings")
    for field in fields(Settings):
        default = f" (default {field.default})" if field.default != "" else ""
        kind = field.metadata["kind"]
        lines.append(f"  --{field.name}=VALUE, or {ENV_PREFIX}{field.name.upper()}")
        lines.append(f"      {field.metadata['doc']}; {kind}{default}")
    return "\n".join(lines)


if __name__ == "__main__":
    print(format_page(), end="")
