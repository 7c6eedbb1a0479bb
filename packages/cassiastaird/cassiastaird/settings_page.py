"""Prints docs/SETTINGS.md from the settings' own description."""

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


if __name__ == "__main__":
    print(write_page(), end="")
