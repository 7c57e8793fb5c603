"""Types of options: parsing, formatting and error messages.

Fields are declared on a `Section`; see `config.section`. Types with units, and those of addresses
and patterns, are in `config.units`.
"""

import re
from abc import ABC, abstractmethod
from typing import Any

REQUIRED = object()
"""Default of a required field."""

MAX_LIST_ITEMS = 1000
"""Maximum number of items in a list."""

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
FALSE_WORDS = frozenset({"no", "false", "off", "0"})


class InvalidValue(ValueError):
    """An option's text is not valid; raised by `Field.parse` only."""

    def __init__(self, wrong: str, instead: str):
        super().__init__(f"{wrong}; {instead}")
        self.wrong = wrong
        self.instead = instead


class Field(ABC):
    """One declared option.

    Hooks:
        parse: Convert text to a value; raise `InvalidValue` if it is not valid.
        format: Convert a value to text that `parse` converts back exactly.
        expected: Description of the allowed values for messages and the settings reference.

    Args:
        help: Description for the settings reference, in one sentence.
        default: Value if the option is omitted; `REQUIRED` if it must not be.
    """

    secret = False

    def __init__(self, help: str, default: Any = REQUIRED):
        self.help = help
        self.default = default

    @property
    def required(self) -> bool:
        """Whether the option must be given."""
        return self.default is REQUIRED

    @property
    @abstractmethod
    def expected(self) -> str:
        """Description of the allowed values, as a noun phrase."""

    @abstractmethod
    def parse(self, text: str) -> Any:
        """Convert `text` to a value."""

    def format(self, value: Any) -> str:
        """Convert `value` to text."""
        return str(value)

    def invalid(self, text: str) -> InvalidValue:
        """Return the error for text that is not valid."""
        return InvalidValue(f"{shorten(text)} is not valid", f"write {self.expected}")


class Name(Field):
    """A name: letters, digits, dots, dashes and underscores."""

    expected = "a name of 1 to 63 letters, digits, '.', '-' or '_'"

    def parse(self, text: str) -> str:
        if not NAME.fullmatch(text):
            raise self.invalid(text)
        return text


class Secret(Field):
    """A text that is hidden in dumps, messages and logs."""

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
    """One of a fixed set of words."""

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
    """A number between two bounds, both included; the class has the default bounds."""

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
        # Comparisons with NaN are False, so NaN is rejected too.
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
    """Values of one type, separated by commas; a tuple at run time."""

    def __init__(self, help: str, item: Field, default: Any = REQUIRED):
        super().__init__(help, default)
        self.item = item

    @property
    def expected(self) -> str:
        return f"a comma-separated list, each item {self.item.expected}"

    def parse(self, text: str) -> tuple:
        parts = [part.strip() for part in text.replace("\n", ",").split(",")]
        values = tuple(self.item.parse(part) for part in parts if part)
        if len(values) > MAX_LIST_ITEMS:
            raise InvalidValue(
                f"the list has {len(values)} items", f"write at most {MAX_LIST_ITEMS}"
            )
        if len(set(values)) < len(values):
            raise InvalidValue("an item of the list appears twice", "write each item once")
        return values

    def format(self, value: tuple) -> str:
        return ", ".join(self.item.format(part) for part in value)


def shorten(text: str, maximum: int = 60) -> str:
    """Return `text` in quotes, truncated to `maximum` characters."""
    return repr(text if len(text) <= maximum else text[:maximum] + "…")
