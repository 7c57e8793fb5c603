"""Loads the fleet's configuration from INI files and computes the difference of two documents."""

from pathlib import Path

from expression import Error, Result

from .change import AnyEntry, Change, RemoveEntry, SetEntry
from .document import Document
from .ini import read_file, read_sections
from .kinds import KINDS, EntryId
from .problem import Problem

KIND_LIST = ", ".join(f"[{kind} NAME]" for kind in KINDS)


def load_document(path: str | Path) -> Result[Document, list[Problem]]:
    """Read a file of sections `[service NAME]`, `[pool NAME]`, `[upstream NAME]`, `[rule NAME]`.

    The document has version 1 and the file's name as author. Use `diff` to apply it to another.
    """
    return read_file(path).bind(lambda text: parse_document(text, str(path)))


def parse_document(text: str, source: str = "configuration") -> Result[Document, list[Problem]]:
    """Parse the text of such a file; return all problems on failure."""
    sections, problems = read_sections(text, source)
    entries: dict[EntryId, SetEntry] = {}
    for header, options in sections.items():
        kind, _, name = " ".join(header.split()).partition(" ")
        if not name:
            wrong = "the section has no name" if kind in KINDS else "there is no such section"
            problems.append(Problem(source, header, "", wrong, f"use {KIND_LIST}"))
        elif (kind, name) in entries:
            wrong = "the section appears twice"
            problems.append(Problem(source, header, "", wrong, "merge the two sections"))
        else:
            entries[kind, name] = SetEntry(kind, name, options)
    change = Change(list(entries.values()))
    read = Document.empty().with_change(change, 1, source, 0.0, source=source)
    if read.is_error():
        return Error(problems + read.error)
    return Error(problems) if problems else read


def diff(old: Document, new: Document) -> Change:
    """Return the smallest change that turns the content of `old` into that of `new`."""
    entries: list[AnyEntry] = []
    for kind in KINDS:
        before, after = old.entries(kind), new.entries(kind)
        for name, section in after.items():
            if before.get(name) is not section and before.get(name) != section:
                entries.append(SetEntry(kind, name, section.options()))
        entries += [RemoveEntry(kind, name) for name in before if name not in after]
    for (kind, name), options in new.unknown.items():
        if old.unknown.get((kind, name)) != options:
            entries.append(SetEntry(kind, name, options))
    entries += [RemoveEntry(kind, name) for kind, name in old.unknown.keys() - new.unknown.keys()]
    return Change(entries)
