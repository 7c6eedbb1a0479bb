"""Plain-text tables."""


def format_table(columns: list[str], rows: list[list[object]]) -> str:
    """Return a table with a line of column names and aligned columns."""
    texts = [[str(cell) for cell in row] for row in [columns, *rows]]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    lines = []
    for row in texts:
        cells = (cell.ljust(w) for cell, w in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)
