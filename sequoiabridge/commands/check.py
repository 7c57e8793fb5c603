"""`sequoiactl check`: report all errors of settings files and fleet configurations."""

import json as json_codec
from pathlib import Path

from ..config.ini import read_file, read_sections
from ..config.kinds import KINDS
from ..config.loading import parse_document
from ..config.problem import Problem
from ..config.settings import SECTIONS, Settings
from ..exceptions import ConfigurationError

EXIT_BAD_INPUT = ConfigurationError.exit_code


def check(*file: Path, json: bool = False, strict: bool = False) -> int:
    """Check settings and fleet configurations and print all errors and warnings.

    Args:
        file: Files to check; the type of each is detected from its sections.
        json: Print JSON.
        strict: Fail on warnings too.
    """
    if not file:
        raise ConfigurationError("No file is given: name one or more files to check.")
    problems = [problem for path in file for problem in find_problems(path)]
    warnings = sum(problem.warning for problem in problems)
    errors = len(problems) - warnings
    if json:
        rows = [problem.to_dict() for problem in problems]
        print(json_codec.dumps({"errors": errors, "warnings": warnings, "problems": rows}))
    else:
        for problem in problems:
            print(problem.text)
        print(f"files {len(file)}, errors {errors}, warnings {warnings}")
    return EXIT_BAD_INPUT if errors or (strict and warnings) else 0


def find_problems(path: Path) -> list[Problem]:
    """Return the errors and warnings of a file."""
    source = str(path)
    text = read_file(path)
    if text.is_error():
        return text.error
    sections, _ = read_sections(text.ok, source)
    words = [header.split()[0] for header in sections if header.split()]
    fleet_sections, settings_sections = (
        sum(word in known for word in words) for known in (KINDS, SECTIONS)
    )
    if fleet_sections == settings_sections == 0:
        wrong = "the file has no section of a settings file or a fleet configuration"
        instead = "add sections such as [vm] or [service NAME]"
        return [Problem(source, "", "", wrong, instead)]
    if settings_sections > fleet_sections:
        settings = Settings.parse(text.ok, source)
        return settings.error if settings.is_error() else []
    document = parse_document(text.ok, source)
    return document.error if document.is_error() else document.ok.warnings(source)
