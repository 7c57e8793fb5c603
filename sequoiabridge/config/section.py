"""Base class for sections of options, which are declared as fields of a subclass:

    class Pool(Section):
        heading = "pool"
        service = Name("Service to which the pool belongs.")

The metaclass replaces each field by a slot, which makes reading an option fast, and keeps the
declarations in `Pool.fields`.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from difflib import get_close_matches
from typing import TYPE_CHECKING, Any, ClassVar, Self

from .fields import Field, InvalidValue
from .problem import Invalid, Problem

if TYPE_CHECKING:
    from expression import Result

HIDDEN = "(hidden)"
"""Replaces secrets in dumps."""


class SectionMeta(type):
    """Turns each declared field into a slot."""

    def __new__(meta, name: str, bases: tuple, namespace: dict):
        own = {key: value for key, value in namespace.items() if isinstance(value, Field)}
        for key in own:
            del namespace[key]
        slots = tuple(namespace.get("__slots__", ())) + tuple(own)
        namespace["__slots__"] = slots
        inherited = {k: v for base in bases for k, v in getattr(base, "fields", {}).items()}
        namespace["fields"] = {**inherited, **own}
        return super().__new__(meta, name, bases, namespace)


class Section(metaclass=SectionMeta):
    """A validated set of options.

    Attributes:
        heading: First word of the section's header.
        fields: Declared options by name.
        name: Second word of the header; "" for sections without a name.
        extra: Texts of unsupported options and values, kept so that writing the section again
            preserves them.
    """

    __slots__ = ("name", "extra")

    heading: ClassVar[str] = ""
    fields: ClassVar[dict[str, Field]]

    @classmethod
    def read(
        cls, name: str, mapping: Mapping[str, str], source: str, *, keep_unknown: bool = False
    ) -> Result[Self, list[Problem]]:
        """Parse all options of `mapping`, or return all problems.

        Args:
            keep_unknown: Keep unsupported options and values in `extra` and use the defaults
                instead; for committed changes, perhaps of a newer release.
        """
        # Imported here to save memory in processes that do not call this method.
        from expression import Error, Ok

        try:
            return Ok(cls.read_or_raise(name, mapping, source, keep_unknown=keep_unknown))
        except Invalid as error:
            return Error(error.problems)

    @classmethod
    def read_or_raise(
        cls, name: str, mapping: Mapping[str, str], source: str, *, keep_unknown: bool = False
    ) -> Self:
        """Parse all options of `mapping`, as `read` does.

        Raises:
            Invalid: With all problems.
        """
        header = f"{cls.heading} {name}".strip()
        section = cls.__new__(cls)
        section.name = name
        section.extra = NO_EXTRA
        problems = section.read_known_options(mapping, source, header, keep_unknown)
        unknown = mapping.keys() - cls.fields.keys()
        if unknown and keep_unknown:
            section.add_extra({key: mapping[key] for key in sorted(unknown)})
        elif unknown:
            problems += [cls.unknown_option(key, source, header) for key in sorted(unknown)]
        if problems:
            raise Invalid(problems)
        wrong = list(section.check())
        if wrong and not keep_unknown:
            raise Invalid([Problem(source, header, *found) for found in wrong])
        for key, _, _ in wrong:
            section.use_default(key, mapping.get(key, ""))
        return section

    def read_known_options(
        self, mapping: Mapping[str, str], source: str, header: str, keep_unknown: bool
    ) -> list[Problem]:
        """Set each declared option from its text or its default; return the problems."""
        problems = []
        for key, field in self.fields.items():
            text = mapping.get(key)
            if text is None and field.required:
                wrong = "the option is missing"
                problems.append(Problem(source, header, key, wrong, f"write {field.expected}"))
                continue
            if text is None:
                setattr(self, key, field.default)
                continue
            try:
                setattr(self, key, field.parse(text))
            except InvalidValue as error:
                if keep_unknown and not field.required:
                    self.use_default(key, text)
                    continue
                problems.append(Problem(source, header, key, error.wrong, error.instead))
        return problems

    def use_default(self, key: str, text: str) -> None:
        """Set an option to its default and keep its text in `extra`."""
        setattr(self, key, self.fields[key].default)
        self.add_extra({key: text})

    def add_extra(self, texts: dict[str, str]) -> None:
        """Add the texts of unsupported options to `extra`."""
        self.extra = {**self.extra, **texts}

    def check(self) -> Iterator[tuple[str, str, str]]:
        """Yield (key, wrong, instead) for each inconsistent option; a hook for subclasses."""
        return iter(())

    @classmethod
    def unknown_option(cls, key: str, source: str, header: str) -> Problem:
        """Return the problem of an undeclared option, with the closest declared name."""
        closest = get_close_matches(key, cls.fields, n=1)
        instead = f"write {closest[0]}" if closest else "use one of " + ", ".join(cls.fields)
        return Problem(source, header, key, "there is no such option", instead)

    def options(self) -> dict[str, str]:
        """Return the texts of required options, of options not at their default, and of `extra`."""
        texts = {}
        for key, field in self.fields.items():
            value = getattr(self, key)
            if field.required or value != field.default:
                texts[key] = field.format(value)
        if self.extra:
            texts.update(self.extra)
        return texts

    def dump(self) -> dict[str, Any]:
        """Return all values for the state dump, without secrets."""
        shown = {k: HIDDEN if f.secret else getattr(self, k) for k, f in self.fields.items()}
        return {**shown, **({"not_understood": self.extra} if self.extra else {})}

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self.name == other.name and self.options() == other.options()

    def __hash__(self) -> int:
        return hash((self.heading, self.name))

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.name!r}, {self.dump()})"


NO_EXTRA: dict[str, str] = {}
"""Shared by all sections without unsupported options; never modified."""
