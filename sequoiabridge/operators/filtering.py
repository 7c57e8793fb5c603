"""Which rows `show` answers with: `of` and `where`, with values checked by type."""

from __future__ import annotations

import operator
from collections.abc import Callable

import curio
import msgspec
from expression import Error, Ok, Result

from ..config.fields import FALSE_WORDS, TRUE_WORDS
from .commands import Condition, Show
from .errors import LanguageError
from .rows import ROWS, ShowRow

Test = Callable[[ShowRow], bool]

CHUNK_ROWS = 500
"""Rows that are tested before other tasks may run."""

COMPARE = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def compile_tests(show: Show) -> Result[list[Test], LanguageError]:
    """Return a test for `of` and for each condition, or the first value of a wrong type."""
    tests: list[Test] = []
    if show.of is not None:
        tests.append(of_test(show.of))
    types = {field.name: field.type for field in msgspec.structs.fields(ROWS[show.subject])}
    for condition in show.where:
        test = condition_test(condition, types[condition.field])
        if test.is_error():
            return test
        tests.append(test.ok)
    return Ok(tests)


def of_test(name: str) -> Test:
    """Return a test for `of NAME`: one of the row type's own fields equals the name."""
    return lambda row: any(getattr(row, field) == name for field in row.of_fields())


def condition_test(condition: Condition, kind: type) -> Result[Test, LanguageError]:
    """Return a test for one condition on a field of type `kind`."""
    field, value = condition.field, condition.value
    if condition.operator == "~":
        part = value.lower()
        return Ok(lambda row: part in str(getattr(row, field)).lower())
    compare = COMPARE[condition.operator]
    try:
        wanted = typed(value, kind)
    except ValueError:
        example = {bool: "yes or no", int: "a whole number", float: "a number"}[kind]
        message = f"{field} is {example}, and {value} is not."
        return Error(LanguageError(message, condition.column, [example]))
    return Ok(lambda row: compare(getattr(row, field), wanted))


def typed(value: str, kind: type) -> str | int | float | bool:
    """Return a value of a field's type, or raise `ValueError`."""
    if kind is not bool:
        return kind(value)
    word = value.lower()
    if word not in TRUE_WORDS | FALSE_WORDS:
        raise ValueError(word)
    return word in TRUE_WORDS


async def chosen(rows: list[ShowRow], tests: list[Test]) -> list[ShowRow]:
    """Return the rows that pass all tests; calls are served between chunks of rows."""
    passed: list[ShowRow] = []
    for start in range(0, len(rows), CHUNK_ROWS):
        chunk = rows[start : start + CHUNK_ROWS]
        passed += [row for row in chunk if all(test(row) for test in tests)]
        await curio.sleep(0)
    return passed
