"""Plain tables for people."""


def format_table(head: list[str], rows: list[list[object]]) -> str:
    """Return a table with aligned columns."""
    texts = [[str(cell) for cell in row] for row in [head, *rows]]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    lines = []
    for row in texts:
        cells = (cell.ljust(w) for cell, w in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
