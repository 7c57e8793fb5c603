"""Option fields: each knows how to read its text, how to write it back, and what to tell people.

Fields are declared on a `Section`, which reads them; see `config.section`. The kinds with units
and addresses are in `config.units`.
"""

import re
from abc import ABC, abstractmethod
from typing import Any

REQUIRED = object()
"""Default of a field that must be given."""

MAX_LIST_ITEMS = 1000
"""Entries that a list may have."""

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
FALSE_WORDS = frozenset({"no", "false", "off", "0"})


class InvalidValue(ValueError):
    """A text that a field cannot read; raised by `Field.parse` only."""

    def __init__(self, wrong: str, instead: str):
        super().__init__(f"{wrong}; {instead}")
        self.wrong = wrong
        self.instead = instead


class Field(ABC):
    """One declared option.

    Hooks:
        parse: Read the text of a file; raise `InvalidValue` with what to write instead.
        format: Write a value so that `parse` gives it back exactly.
        expected: What may be written, for messages and for the reference.

    Args:
        help: One sentence for the settings reference.
        default: Value when the option is not given; `REQUIRED` if it must be.
    """

    secret = False

    def __init__(self, help: str, default: Any = REQUIRED):
        self.help = help
        self.default = default

    @property
    def required(self) -> bool:
        """True if there is no default."""
        return self.default is REQUIRED

    @property
    @abstractmethod
    def expected(self) -> str:
        """What may be written, as a noun phrase."""

    @abstractmethod
    def parse(self, text: str) -> Any:
        """Return the value that `text` stands for."""

    def format(self, value: Any) -> str:
        """Return the text that stands for `value`."""
        return str(value)

    def invalid(self, text: str) -> InvalidValue:
        """Return the error for a text that is not what is expected."""
        return InvalidValue(f"{shorten(text)} is not valid", f"write {self.expected}")


class Name(Field):
    """A name: letters, digits, dots, dashes and underscores."""

    expected = "a name of 1 to 63 letters, digits, '.', '-' or '_'"

    def parse(self, text: str) -> str:
        if not NAME.fullmatch(text):
            raise self.invalid(text)
        return text


class Secret(Field):
    """A text that dumps, messages and logs never show."""

    secret = True

    def __init__(self, help: str, default: Any = REQUIRED, *, min_length: int = 16):
        super().__init__(help, default)
        self.min_length = min_length

    @property
    def expected(self) -> str:
        return f"at least {self.min_length} printable characters without spaces"

    def parse(self, text: str) -> str:
        if len(text) < self.min_length or not text.isprintable() or " " in text:
            wrong = f"the value ({len(text)} characters, not shown) is not valid"
            raise InvalidValue(wrong, f"write {self.expected}")
        return text


class Choice(Field):
    """One of some fixed words."""

    def __init__(self, help: str, words: tuple[str, ...], default: Any = REQUIRED):
        super().__init__(help, default)
        self.words = words

    @property
    def expected(self) -> str:
        return "one of " + ", ".join(self.words)

    def parse(self, text: str) -> str:
        if text not in self.words:
            raise self.invalid(text)
        return text


class Boolean(Field):
    """Yes or no."""

    expected = "yes or no"

    def parse(self, text: str) -> bool:
        word = text.lower()
        if word in TRUE_WORDS:
            return True
        if word in FALSE_WORDS:
            return False
        raise self.invalid(text)

    def format(self, value: bool) -> str:
        return "yes" if value else "no"


class Bounded(Field):
    """A quantity between two bounds, both included; a class gives the widest, a field its own."""

    minimum: float = 0
    maximum: float = 10**9

    def __init__(
        self,
        help: str,
        default: Any = REQUIRED,
        *,
        minimum: float | None = None,
        maximum: float | None = None,
    ):
        super().__init__(help, default)
        self.minimum = self.minimum if minimum is None else minimum
        self.maximum = self.maximum if maximum is None else maximum

    def check_bounds(self, value: float, text: str) -> float:
        """Return `value`, or raise `InvalidValue` if it is out of bounds."""
        # Written so that "nan" fails as well.
        if not self.minimum <= value <= self.maximum:
            raise self.invalid(text)
        return value


class Integer(Bounded):
    """A whole number between two bounds, both included."""

    @property
    def expected(self) -> str:
        return f"a whole number from {self.minimum} to {self.maximum}"

    def parse(self, text: str) -> int:
        if not re.fullmatch(r"-?[0-9]{1,15}", text):
            raise self.invalid(text)
        return self.check_bounds(int(text), text)


class Number(Bounded):
    """A number between two bounds, both included."""

    @property
    def expected(self) -> str:
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def parse(self, text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise self.invalid(text) from None
        return self.check_bounds(value, text)

    def format(self, value: float) -> str:
        return str(int(value)) if value == int(value) else repr(value)


class ListOf(Field):
    """Values of one kind, separated by commas; a tuple at run time."""

    def __init__(self, help: str, item: Field, default: Any = REQUIRED):
        super().__init__(help, default)
        self.item = item

    @property
    def expected(self) -> str:
        return f"a list, separated by commas, each {self.item.expected}"

    def parse(self, text: str) -> tuple:
        parts = [part.strip() for part in text.replace("\n", ",").split(",")]
        values = tuple(self.item.parse(part) for part in parts if part)
        if len(values) > MAX_LIST_ITEMS:
            raise InvalidValue(f"{len(values)} entries", f"write at most {MAX_LIST_ITEMS}")
        if len(set(values)) < len(values):
            raise InvalidValue("an entry is there twice", "write each entry once")
        return values

    def format(self, value: tuple) -> str:
        return ", ".join(self.item.format(part) for part in value)


def shorten(text: str, maximum: int = 60) -> str:
    """Return `text` in quotes, cut for a message."""
    return repr(text if len(text) <= maximum else text[:maximum] + "…")
