"""Parser of the operators' language: turns text into a command or a `LanguageError`."""

from __future__ import annotations

import re
from difflib import get_close_matches
from pathlib import Path

from expression import Error, Ok, Result
from lark import Lark, Token, Transformer, v_args
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

from .commands import (
    ChangeCommand,
    Command,
    Condition,
    Diff,
    Drain,
    EntryKind,
    Explain,
    HeldKind,
    Release,
    Remove,
    SetOptions,
    Show,
    Subject,
)
from .errors import LanguageError
from .rows import fields_of

MAX_COMMAND_CHARS = 8192
"""Maximum length of a command, in characters."""

MAX_SUGGESTIONS = 2
"""Maximum number of similar words that an error message suggests."""

TERMINAL_KEYWORDS = {
    "SUBJECT": [subject.value for subject in Subject],
    "KIND": [kind.value for kind in EntryKind],
    "HELD": [kind.value for kind in HeldKind],
}
"""Keywords that each terminal with a choice of keywords matches."""

TERMINAL_DESCRIPTIONS = {
    "FIELD": "a field or option name",
    "OPERATOR": "one of = != < <= > >= ~",
    "NUMBER": "a number",
    "WORD": "a name or value",
    "STRING": "a name or value",
    "_COMMA": '","',
    "_EQUALS": '"="',
    "$END": "the end of the command",
}
"""Descriptions, for error messages, of the terminals that match values or symbols."""

NEXT_TOKEN = re.compile(r'"[^"\n]*"|[^\s,="<>!~]+|\S')
"""Matches the part of the command that an error message quotes."""

MAX_QUOTED_CHARS = 40
"""Maximum number of characters of the command that an error message quotes."""

GRAMMAR = Path(__file__).with_name("language.lark")

PARSER = Lark(
    GRAMMAR.read_text(encoding="utf-8"),
    parser="lalr",
    lexer="contextual",
    propagate_positions=True,
    maybe_placeholders=True,
)


def parse(text: str) -> Result[Command, LanguageError]:
    """Parse a command; the error has the column and says what is expected there."""
    if len(text) > MAX_COMMAND_CHARS:
        message = (
            f"the command has {len(text)} characters; the limit is {MAX_COMMAND_CHARS}; shorten it."
        )
        return Error(LanguageError(message, MAX_COMMAND_CHARS + 1))
    try:
        tree = PARSER.parse(text)
    except UnexpectedInput as error:
        return Error(explain_error(text, error))
    builder = CommandBuilder(visit_tokens=False)
    command = builder.transform(tree)
    if builder.errors:
        return Error(builder.errors[0])
    return Ok(command)


def explain_error(text: str, error: UnexpectedInput) -> LanguageError:
    """Return the `LanguageError` for a lark error, with suggestions of similar keywords."""
    position = error_position(text, error)
    keywords, descriptions = expected_terms(error)
    found = NEXT_TOKEN.match(text, position)
    expected = [*keywords, *descriptions]
    message = f"expected {join_choices(expected)}"
    if found is None:
        return LanguageError(f"{message}, but the command ends here.", position + 1, expected)
    if found.group() == '"':
        message = "the closing quote is missing; add one after the value."
        return LanguageError(message, position + 1, ['"'])
    message = f"{message}, but found {quote_token(found.group())}."
    return LanguageError(message + did_you_mean(found.group(), keywords), position + 1, expected)


def error_position(text: str, error: UnexpectedInput) -> int:
    """Return the index of the first character that is not valid."""
    end = len(text.rstrip())
    if isinstance(error, UnexpectedToken) and error.token.type == "$END":
        return end
    position = error.pos_in_stream
    return end if position is None or position < 0 else min(position, end)


def expected_terms(error: UnexpectedInput) -> tuple[list[str], list[str]]:
    """Return the valid continuations: keywords, and descriptions such as "a number"."""
    terminals: set[str] = set()
    if isinstance(error, UnexpectedToken):
        terminals = set(error.accepts or error.expected)
    elif isinstance(error, UnexpectedCharacters):
        terminals = set(error.allowed or ())
    keywords: list[str] = []
    descriptions: set[str] = set()
    for terminal in sorted(terminals - {"WS"}):
        if terminal in TERMINAL_KEYWORDS:
            keywords += TERMINAL_KEYWORDS[terminal]
        elif terminal in TERMINAL_DESCRIPTIONS:
            descriptions.add(TERMINAL_DESCRIPTIONS[terminal])
        else:
            keywords.append(terminal.removeprefix("_").lower())
    return keywords, sorted(descriptions)


def quote_token(found: str) -> str:
    """Return a token for an error message: printable and truncated."""
    if not found.isprintable():
        found = ascii(found)
    return found if len(found) <= MAX_QUOTED_CHARS else found[:MAX_QUOTED_CHARS] + "…"


def join_choices(choices: list[str]) -> str:
    """Join choices as `a, b or c`."""
    if len(choices) < 2:
        return "".join(choices)
    return ", ".join(choices[:-1]) + " or " + choices[-1]


def did_you_mean(found: str, choices: list[str]) -> str:
    """Return a sentence that suggests similar words, or an empty string."""
    matches = get_close_matches(found.lower(), choices, n=MAX_SUGGESTIONS)
    return f" Did you mean {join_choices(matches)}?" if matches else ""


@v_args(inline=True)
class CommandBuilder(Transformer):
    """Builds commands from parse trees; collects unknown fields and duplicates in `errors`."""

    def __init__(self, visit_tokens: bool = False):
        super().__init__(visit_tokens)
        self.errors: list[LanguageError] = []

    def show(self, subject, of, where, limit):
        command = Show(Subject(subject.lower()), of, where or [], limit)
        for condition in command.where:
            self._check_field(condition, fields_of(command.subject))
        return command

    def of(self, name):
        return unquote(name)

    def where(self, *conditions):
        return list(conditions)

    def condition(self, field, operator, value):
        return Condition(str(field), str(operator), unquote(value), field.start_pos + 1)

    def limit(self, number):
        return int(number)

    def explain(self, request_id):
        return Explain(unquote(request_id))

    def diff(self, old, new):
        return Diff(int(old), int(new))

    def add(self, kind, name, *assignments):
        options: dict[str, str] = {}
        for key, value in assignments:
            if key in options:
                self._add_duplicate(key, key)
            options[str(key)] = value
        return SetOptions(EntryKind(kind.lower()), unquote(name), options, create=True)

    def set(self, kind, name, assignment):
        key, value = assignment
        options = {str(key): value}
        return SetOptions(EntryKind(kind.lower()), unquote(name), options, create=False)

    def assignment(self, key, value):
        return key, unquote(value)

    def remove(self, kind, name):
        return Remove(EntryKind(kind.lower()), unquote(name))

    def drain(self, name):
        return Drain(unquote(name), resume=False)

    def resume(self, name):
        return Drain(unquote(name), resume=True)

    def release(self, kind, name):
        return Release(HeldKind(kind.lower()), unquote(name))

    def modifier(self, modifier):
        return modifier

    def expect(self, number):
        return number

    def dry_run(self):
        return None

    def change(self, command: ChangeCommand, *modifiers):
        for number in modifiers:
            if number is None:
                command.dry_run = True
                continue
            if command.expect is not None:
                self._add_duplicate(number, "the expected version")
            command.expect = int(number)
        return command

    def _check_field(self, condition: Condition, fields: list[str]) -> None:
        if condition.field in fields:
            return
        message = f"expected {join_choices(fields)}, "
        message += f"but found {condition.field}." + did_you_mean(condition.field, fields)
        self.errors.append(LanguageError(message, condition.column, fields))

    def _add_duplicate(self, token: Token, what: str) -> None:
        column = token.start_pos + 1
        message = f"{what} is specified more than once; specify it once."
        self.errors.append(LanguageError(message, column))


def unquote(token: Token) -> str:
    """Return the text of a name or value without enclosing quotes."""
    return str(token[1:-1]) if token.type == "STRING" else str(token)
