"""Prints answers of a daemon as text (tables and nested values) or as JSON."""

import json
from collections.abc import Iterator, Sequence
from typing import Any

from ..formatting import format_count

INDENT = "  "
COLUMN_GAP = "  "

MAX_SEPARATOR_WIDTH = 80
"""Maximum number of dashes under the header of the last column."""

EMPTY_VALUE = "-"
"""Shown for an empty value."""


def format_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> Iterator[str]:
    """Yield the lines of a table; columns of numbers are right-aligned."""
    texts = [[format_cell(value) for value in row] for row in rows]
    widths = [len(name) for name in columns]
    for row in texts:
        widths = [max(width, len(text)) for width, text in zip(widths, row, strict=False)]
    right = [all(is_number(row[i]) for row in rows) for i in range(len(columns))]
    right = [aligned and bool(rows) for aligned in right]
    yield format_line(columns, widths, right)
    yield format_separator(widths)
    for row in texts:
        yield format_line(row, widths, right)


def format_separator(widths: list[int]) -> str:
    """Return the dashes under the column headers; only the last ones are limited in width."""
    return COLUMN_GAP.join(
        "-" * width for width in (*widths[:-1], min(widths[-1], MAX_SEPARATOR_WIDTH))
    )


def format_line(texts: Sequence[str], widths: list[int], right: list[bool]) -> str:
    """Return one line of a table."""
    parts = zip(texts, widths, right, strict=False)
    return COLUMN_GAP.join(t.rjust(w) if r else t.ljust(w) for t, w, r in parts).rstrip()


def format_tree(value: Any, depth: int = 0) -> Iterator[str]:
    """Yield the lines of nested maps and lists; a list of maps with the same keys is a table."""
    space = INDENT * depth
    if isinstance(value, dict):
        for key, inner in value.items():
            if isinstance(inner, dict | list) and inner:
                yield f"{space}{key}:"
                yield from format_tree(inner, depth + 1)
            else:
                yield f"{space}{key}: {format_cell(inner) or EMPTY_VALUE}"
    elif is_table(value):
        columns = list(value[0])
        rows = [[row[name] for name in columns] for row in value]
        yield from (space + text for text in format_table(columns, rows))
    elif isinstance(value, list):
        for inner in value:
            nested = isinstance(inner, dict | list) and inner
            yield from (
                format_tree(inner, depth + 1) if nested else (f"{space}- {format_cell(inner)}",)
            )
    else:
        yield space + format_cell(value)


def is_table(value: Any) -> bool:
    """Return True for a list of maps with the same keys and no nested maps."""
    if not isinstance(value, list) or not value or not isinstance(value[0], dict):
        return False
    keys = list(value[0])
    flat = all(isinstance(row, dict) and list(row) == keys for row in value)
    return flat and not any(isinstance(v, dict) for row in value for v in row.values())


def is_number(value: Any) -> bool:
    """Return True for a number that is not a boolean."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def format_cell(value: Any) -> str:
    """Return a value as one line of printable text."""
    if value is None or value == [] or value == {}:
        return EMPTY_VALUE
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(format_cell(part) for part in value)
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    return "".join(c if c.isprintable() else "?" for c in text)


def print_answer(answer: Any, as_json: bool) -> None:
    """Print an answer: its table, its message, and which VMs answered."""
    if as_json:
        print(json.dumps(answer, indent=2, ensure_ascii=False))
        return
    if not isinstance(answer, dict) or "columns" not in answer:
        print("\n".join(format_tree(answer)))
        return
    # Without rows, a message replaces the table.
    if answer["columns"] and (answer.get("rows") or not answer.get("message")):
        print("\n".join(format_table(answer["columns"], answer.get("rows") or [])))
    if answer.get("message"):
        print(answer["message"])
    print(format_source(answer))
    for vm, why in unanswered_vms(answer).items():
        print(f"NOT heard {format_cell(vm)}: {format_cell(why)}")


def is_complete(answer: Any) -> bool:
    """Return False if the answer lists VMs that did not answer."""
    return not (isinstance(answer, dict) and answer.get("not_heard"))


def format_source(answer: dict) -> str:
    """Return the line with the configuration version and the number of VMs that answered."""
    parts = []
    if answer.get("version") is not None:
        parts.append(f"configuration version {answer['version']}")
    if "heard" in answer:
        parts.append(f"heard {format_count(len(answer['heard']), 'VM')}")
    return "; ".join(parts)


def unanswered_vms(answer: dict) -> dict[str, str]:
    """Return the reasons why VMs did not answer, by VM name."""
    return answer.get("not_heard") or {}
