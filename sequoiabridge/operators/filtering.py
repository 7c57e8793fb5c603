"""Filters of `show` rows: `of NAME` and the conditions of `where`."""

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

RowTest = Callable[[ShowRow], bool]

CHUNK_ROWS = 500
"""Number of rows that are tested before other tasks can run."""

COMPARISONS = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def compile_tests(show: Show) -> Result[list[RowTest], LanguageError]:
    """Return a test for `of` and for each condition, or the error of the first invalid value."""
    tests: list[RowTest] = []
    if show.of is not None:
        tests.append(name_test(show.of))
    types = {field.name: field.type for field in msgspec.structs.fields(ROWS[show.subject])}
    for condition in show.where:
        test = condition_test(condition, types[condition.field])
        if test.is_error():
            return test
        tests.append(test.ok)
    return Ok(tests)


def name_test(name: str) -> RowTest:
    """Return a test that any of the row's `of_fields` equals a name."""
    return lambda row: any(getattr(row, field) == name for field in row.of_fields())


def condition_test(condition: Condition, value_type: type) -> Result[RowTest, LanguageError]:
    """Return the test of a condition on a field of type `value_type`."""
    field, value = condition.field, condition.value
    if condition.operator == "~":
        substring = value.lower()
        return Ok(lambda row: substring in str(getattr(row, field)).lower())
    compare = COMPARISONS[condition.operator]
    try:
        wanted = convert_value(value, value_type)
    except ValueError:
        example = {bool: "yes or no", int: "a whole number", float: "a number"}[value_type]
        message = f"{field} must be {example}, but found {value}."
        return Error(LanguageError(message, condition.column, [example]))
    return Ok(lambda row: compare(getattr(row, field), wanted))


def convert_value(value: str, value_type: type) -> str | int | float | bool:
    """Convert a text to a field's type; raises `ValueError`."""
    if value_type is not bool:
        return value_type(value)
    word = value.lower()
    if word not in TRUE_WORDS | FALSE_WORDS:
        raise ValueError(word)
    return word in TRUE_WORDS


async def filter_rows(rows: list[ShowRow], tests: list[RowTest]) -> list[ShowRow]:
    """Return the rows that pass all tests; yields to other tasks between chunks."""
    passed: list[ShowRow] = []
    for start in range(0, len(rows), CHUNK_ROWS):
        chunk = rows[start : start + CHUNK_ROWS]
        passed += [row for row in chunk if all(test(row) for test in tests)]
        await curio.sleep(0)
    return passed
