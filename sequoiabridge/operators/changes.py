"""Turns commands into configuration changes, and lists the differences that they make."""

from __future__ import annotations

from datetime import UTC, datetime

from expression import Error, Ok, Result

from ..config.change import Change, RemoveEntry, SetEntry
from ..config.document import Document
from ..config.kinds import KINDS
from ..config.loading import diff, parse_document
from ..config.problem import Problem
from ..exceptions import ConflictError, SequoiaError
from .commands import ChangeCommand, Drain, Remove, SetOptions
from .errors import ConfigurationBehind, InvalidChange, NotFound

DIFFERENCE_COLUMNS = ["kind", "name", "option", "old", "new"]
"""Columns of the table of differences between two documents."""


class Proposal:
    """A validated change that turns the document `old` into `new`."""

    __slots__ = ("old", "new", "change")

    def __init__(self, old: Document, new: Document, change: Change):
        self.old = old
        self.new = new
        self.change = change


def propose_command(
    document: Document, command: ChangeCommand, author: str, changed_at: float
) -> Result[Proposal, SequoiaError]:
    """Return the validated proposal of a command."""
    expected = check_expected_version(document, command.expect)
    if expected.is_error():
        return Error(expected.error)
    entry = entry_change(document, command)
    if entry.is_error():
        return Error(entry.error)
    return validate_change(document, Change([entry.ok]), author, changed_at, "command")


def propose_document(
    document: Document, text: str, author: str, expect: int | None, changed_at: float
) -> Result[Proposal, SequoiaError]:
    """Return the validated proposal that replaces the configuration with an INI text."""
    expected = check_expected_version(document, expect)
    if expected.is_error():
        return Error(expected.error)
    parsed = parse_document(text)
    if parsed.is_error():
        return Error(invalid_change(parsed.error))
    if document.services and not parsed.ok.services:
        message = "The document has no service; to remove all services, remove each by name."
        return Error(InvalidChange(message, [message]))
    return validate_change(document, diff(document, parsed.ok), author, changed_at, "configuration")


def check_expected_version(document: Document, expect: int | None) -> Result[None, SequoiaError]:
    """Return an error unless `expect` is None or the version in force on this VM."""
    if expect is None or expect == document.version:
        return Ok(None)
    if expect > document.version:
        message = f"This VM has version {document.version} and has not received {expect} yet; "
        return Error(ConfigurationBehind(message + "try again in a few seconds or on another VM."))
    when = datetime.fromtimestamp(document.changed_at, UTC).isoformat(timespec="seconds")
    message = f"Version {expect} is not the latest: {document.author} set version "
    message += f"{document.version} at {when}. Review it with "
    message += f"diff {expect} {document.version}, then repeat the command."
    return Error(ConflictError(message))


def entry_change(
    document: Document, command: ChangeCommand
) -> Result[SetEntry | RemoveEntry, SequoiaError]:
    """Return the change of the entry that a command sets or removes."""
    if isinstance(command, Drain):
        kind, options = "upstream", {"drained": "no" if command.resume else "yes"}
    else:
        kind = command.kind.value
        options = command.options if isinstance(command, SetOptions) else {}
    exists = command.name in document.entries(kind)
    if isinstance(command, SetOptions) and command.create:
        if not exists:
            return Ok(SetEntry(kind, command.name, options))
        message = f"The {kind} {command.name} already exists; change it with set."
        return Error(InvalidChange(message, [message]))
    if not exists:
        return Error(NotFound(f"No {kind} {command.name} exists; see show {kind}s."))
    if isinstance(command, Remove):
        return Ok(RemoveEntry(kind, command.name))
    return Ok(document.merge_options(kind, command.name, options))


def validate_change(
    document: Document, change: Change, author: str, changed_at: float, source: str
) -> Result[Proposal, SequoiaError]:
    """Return the proposal of a change if the resulting document is valid."""
    new = document.with_change(change, document.version + 1, author, changed_at, source=source)
    if new.is_error():
        return Error(invalid_change(new.error))
    return Ok(Proposal(document, new.ok, diff(document, new.ok)))


def invalid_change(problems: list[Problem]) -> InvalidChange:
    """Return one error with all problems of a change."""
    lines = [problem.text for problem in problems]
    return InvalidChange(f"The change is not valid: {' | '.join(lines)}.", lines)


def difference_table(old: Document, new: Document) -> tuple[list[str], list[list[str]]]:
    """Return the columns and rows of the differences between two documents.

    There is one row per changed option; an added or removed entry has an extra row first.
    """
    rows = []
    for entry in diff(old, new).entries:
        before = entry_options(old, entry.kind, entry.name)
        after = entry_options(new, entry.kind, entry.name)
        if before is None:
            rows.append([entry.kind, entry.name, "(entry)", "", "added"])
        if after is None:
            rows.append([entry.kind, entry.name, "(entry)", "removed", ""])
        for option in sorted((before or {}).keys() | (after or {}).keys()):
            values = option_text(entry.kind, option, before), option_text(entry.kind, option, after)
            if values[0] != values[1]:
                rows.append([entry.kind, entry.name, option, *values])
    return DIFFERENCE_COLUMNS, rows


def entry_options(document: Document, kind: str, name: str) -> dict[str, str] | None:
    """Return the options of an entry, or None if the document does not have it."""
    unknown = document.unknown.get((kind, name))
    if unknown is not None or kind not in KINDS:
        return unknown
    entry = document.entries(kind).get(name)
    return entry.options() if entry else None


def option_text(kind: str, option: str, options: dict[str, str] | None) -> str:
    """Return the text of an option or of its default, or "" if there is no entry."""
    if options is None:
        return ""
    field = KINDS[kind].fields.get(option) if kind in KINDS else None
    default = "" if field is None or field.required else field.format(field.default)
    return options.get(option, default)
