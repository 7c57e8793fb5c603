"""Tests of the parser: documented examples, errors with their column, and arbitrary text."""

import re
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...operators.commands import (
    ChangeCommand,
    Command,
    Condition,
    EntryKind,
    SetOptions,
    Show,
    Subject,
)
from ...operators.errors import LanguageError
from ...operators.parser import MAX_COMMAND_CHARS, PARSER, parse

PAGE = Path(__file__).parents[3] / "docs" / "operators" / "language.md"
EXAMPLES = re.findall(r"^    (\S.*)$", PAGE.read_text(encoding="utf-8"), re.MULTILINE)

WORDS = sorted({word for example in EXAMPLES for word in re.findall(r"\w+|[^\w\s]", example)})


@pytest.mark.parametrize("example", EXAMPLES)
def test_every_documented_example_parses(example):
    assert isinstance(parse(example).ok, Command)


def test_the_documentation_has_an_example_of_every_subject_kind_and_modifier():
    used = " ".join(EXAMPLES)
    words = [s.value for s in Subject] + [f"add {kind.value}" for kind in EntryKind]
    assert [word for word in words if word not in used] == []
    commands = [parse(example).ok for example in EXAMPLES]
    assert any(c.expect and c.dry_run for c in commands if isinstance(c, ChangeCommand))


@pytest.mark.parametrize(
    "text, column, expected",
    [
        ("", 1, "the command ends here"),
        ("shwo services", 1, "Did you mean show?"),
        ("show upstreams of", 18, "expected a name or value"),
        ("show upstreams where slot > 2", 22, "but found slot"),
        ("show services where nme = x", 21, "Did you mean name?"),
        ("show services\nwhere nme = x", 21, "Did you mean name?"),
        ("drain pool p", 7, "expected upstream, but found pool"),
        ("add rule r with path /x", 22, 'expected "="'),
        ("add rule r with path = /x, path = /y", 28, "specified more than once"),
        ("set service s kind = 'a", 99, None),
        ('set service s path_prefix = "/a', 29, "closing quote is missing"),
        ("diff 3 x", 8, "expected a number"),
        ("resume upstream u expect 3", 26, "expected version"),
        ("resume upstream u dry run dry", 30, "expected run"),
        ("remove pool p expect version 1 expect version 2", 47, "specified more than once"),
        ("show pools\nlimit many", 18, "expected a number"),
        ("show pools " + " " * MAX_COMMAND_CHARS, MAX_COMMAND_CHARS + 1, "the limit is"),
    ],
)
def test_errors_name_the_column_and_what_was_expected(text, column, expected):
    if expected is None:
        assert isinstance(parse(text).ok, SetOptions)
        return
    error = parse(text).error
    assert (error.column, expected in str(error)) == (column, True), str(error)


def test_keywords_are_valid_names_and_quoted_values_may_contain_commas():
    shown = parse("show upstreams of limit where state != drain limit 3").ok
    assert shown == Show(Subject.UPSTREAMS, "limit", [Condition("state", "!=", "drain", 31)], 3)
    added = parse('ADD rule expect WITH methods = "GET, HEAD", path=/a/*').ok
    assert added.name == "expect"
    assert added.options == {"methods": "GET, HEAD", "path": "/a/*"}


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.one_of(st.text(max_size=60), st.lists(st.sampled_from(WORDS), max_size=12).map(" ".join)))
def test_any_text_returns_a_command_or_a_language_error(text):
    result = parse(text)
    if result.is_ok():
        assert isinstance(result.ok, Command)
        return
    assert isinstance(result.error, LanguageError)
    assert 1 <= result.error.column <= len(text) + 1
    assert PARSER.options.parser == "lalr"
