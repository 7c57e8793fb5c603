"""Errors and warnings about settings files and the fleet's configuration."""

from ..exceptions import ConfigurationError


class Problem:
    """An error or warning: its place, what is wrong and how to correct it.

    Attributes:
        source: File name or other origin of the text ("command", "version 12").
        section: Section header without brackets; "" if the problem is in no section.
        key: Option; "" if the problem concerns the whole section.
        wrong: What is wrong, without a full stop.
        instead: How to correct it, as an instruction without a full stop.
        warning: True if the input is valid nevertheless.
    """

    __slots__ = ("source", "section", "key", "wrong", "instead", "warning")

    def __init__(
        self,
        source: str,
        section: str,
        key: str,
        wrong: str,
        instead: str,
        *,
        warning: bool = False,
    ):
        self.source = source
        self.section = section
        self.key = key
        self.wrong = wrong
        self.instead = instead
        self.warning = warning

    @property
    def text(self) -> str:
        """The problem in one line."""
        where = f"{self.source}: [{self.section}]" if self.section else self.source
        if self.key:
            where = f"{where} {self.key}"
        mark = "warning: " if self.warning else ""
        return f"{where}: {mark}{self.wrong}; {self.instead}"

    def to_dict(self) -> dict:
        """Return the problem as a dictionary for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}

    def __str__(self) -> str:
        return self.text

    def __repr__(self) -> str:
        return f"Problem({self.text!r})"


def join_problems(problems: list[Problem]) -> str:
    """Return all problems in one line, for an error message."""
    return " | ".join(problem.text for problem in problems)


class Invalid(ConfigurationError):
    """Options are not valid; `problems` lists all errors."""

    def __init__(self, problems: list[Problem]):
        super().__init__(join_problems(problems))
        self.problems = problems
