"""Reads and writes INI text; reports all syntax errors at once."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import TYPE_CHECKING

from .problem import Invalid, Problem

if TYPE_CHECKING:
    from expression import Result

MAX_SYNTAX_ERRORS = 50
"""Number of syntax errors after which the rest of a file is skipped."""

MAX_FILE_BYTES = 50_000_000
"""Maximum size of a file."""

Sections = dict[str, dict[str, str]]
"""Options with their texts by section header, in the order of the file."""


def read_file(path: str | Path) -> Result[str, list[Problem]]:
    """Return the text of a file, or the problem why it cannot be read."""
    # Imported here to save memory in processes that do not call this function.
    from expression import Error, Ok

    try:
        return Ok(read_text_file(path))
    except Invalid as error:
        return Error(error.problems)


def read_text_file(path: str | Path) -> str:
    """Return the text of a file.

    Raises:
        Invalid: The file cannot be read.
    """
    source = str(path)
    try:
        if Path(path).stat().st_size > MAX_FILE_BYTES:
            wrong = f"the file has more than {MAX_FILE_BYTES} bytes"
            raise Invalid([Problem(source, "", "", wrong, "split it or remove what is not needed")])
        return Path(path).read_text(encoding="utf-8-sig")
    except OSError as error:
        wrong = f"the file cannot be read ({error.strerror})"
        problem = Problem(source, "", "", wrong, "check its path and permissions")
        raise Invalid([problem]) from error
    except UnicodeDecodeError as error:
        wrong = f"byte {error.start} is not UTF-8"
        raise Invalid([Problem(source, "", "", wrong, "save the file as UTF-8")]) from error


def read_sections(text: str, source: str) -> tuple[Sections, list[Problem]]:
    """Return the sections of INI text and its syntax errors.

    Lines with errors are removed and the rest is parsed again, so that all errors are reported.
    """
    problems: list[Problem] = []
    lines = text.splitlines()
    while True:
        parser = new_parser()
        try:
            parser.read_string("\n".join(lines), source)
        except configparser.Error as error:
            problems += remove_invalid_lines(error, lines, source)
            if len(problems) <= MAX_SYNTAX_ERRORS:
                continue
            return {}, problems
        return {name: dict(parser.items(name)) for name in parser.sections()}, problems


def new_parser() -> configparser.RawConfigParser:
    """Return a parser for INI with `=` as delimiter, without defaults and interpolation."""
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        strict=True,
        empty_lines_in_values=False,
        default_section="\n",
    )
    parser.optionxform = str
    return parser


def remove_invalid_lines(error: configparser.Error, lines: list[str], source: str) -> list[Problem]:
    """Blank the lines that `error` names and return the problems."""
    if isinstance(error, configparser.DuplicateOptionError):
        lines[error.lineno - 1] = ""
        wrong = f"the option appears twice (line {error.lineno})"
        return [Problem(source, error.section, error.option, wrong, "remove one of them")]
    if isinstance(error, configparser.DuplicateSectionError):
        wrong = f"the section appears twice (line {error.lineno})"
        blank_section(lines, error.lineno - 1)
        return [Problem(source, error.section, "", wrong, "merge the two sections")]
    if isinstance(error, configparser.MissingSectionHeaderError):
        lines[error.lineno - 1] = ""
        wrong = f"line {error.lineno} is before the first section header"
        return [Problem(source, "", "", wrong, "add a header such as [vm] above it")]
    if isinstance(error, configparser.ParsingError):
        for number, _ in error.errors:
            lines[number - 1] = ""
        wrong = "line {} is neither a section, an option nor a comment"
        instead = "write it as option = value"
        return [Problem(source, "", "", wrong.format(n), instead) for n, _ in error.errors]
    lines.clear()
    return [
        Problem(
            source, "", "", f"the file is not valid INI ({error.message})", "correct its syntax"
        )
    ]


def blank_section(lines: list[str], start: int) -> None:
    """Blank the lines of the section whose header is at index `start`."""
    lines[start] = ""
    for number in range(start + 1, len(lines)):
        if lines[number].startswith("["):
            return
        lines[number] = ""


def write_sections(sections: Sections) -> str:
    """Return the sections as INI text, readable by `read_sections`."""
    blocks = []
    for header, options in sections.items():
        lines = [f"[{header}]"]
        for key, text in options.items():
            # Continuation lines must be indented.
            lines.append(f"{key} = {text}".rstrip().replace("\n", "\n  "))
        blocks.append("\n".join(lines) + "\n")
    return "\n".join(blocks)
