"""One thing that is wrong with a settings file or with the fleet's configuration."""

from ..exceptions import ConfigurationError


class Problem:
    """Where it is, what is wrong and what to write instead.

    Attributes:
        source: File name, or what else the text came from ("command", "version 12").
        section: Section as written between the brackets; "" if none is concerned.
        key: Option; "" if the whole section is concerned.
        wrong: What is wrong, without a full stop.
        instead: What to write instead, as an instruction without a full stop.
        warning: True if it may stay as it is.
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
        """Return the problem as a plain map, for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}

    def __str__(self) -> str:
        return self.text

    def __repr__(self) -> str:
        return f"Problem({self.text!r})"


def join_problems(problems: list[Problem]) -> str:
    """Return all problems as one line, for an error's message."""
    return " | ".join(problem.text for problem in problems)


class Invalid(ConfigurationError):
    """Options are not valid; `problems` has everything that is wrong with them."""

    def __init__(self, problems: list[Problem]):
        super().__init__(join_problems(problems))
        self.problems = problems
