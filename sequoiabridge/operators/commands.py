"""The commands of the language as typed objects; `parser` makes them and `executor` runs them."""

from __future__ import annotations

from enum import Enum


class Subject(Enum):
    """What `show` can show."""

    SERVICES = "services"
    POOLS = "pools"
    UPSTREAMS = "upstreams"
    RULES = "rules"
    VMS = "vms"
    CONFIGURATION = "configuration"
    CLAIMS = "claims"
    UPLOADS = "uploads"
    CRASHES = "crashes"
    REFUSALS = "refusals"
    HISTORY = "history"


class EntryKind(Enum):
    """The kinds of entry in the fleet's configuration."""

    SERVICE = "service"
    POOL = "pool"
    UPSTREAM = "upstream"
    RULE = "rule"


class HeldKind(Enum):
    """What an operator can release."""

    CRASH = "crash"
    CLAIM = "claim"
    UPLOAD = "upload"


class Command:
    """Base of all commands; equal when all parts are equal."""

    __slots__ = ()

    def slot_values(self) -> tuple:
        """Return the values of all slots, those of the base classes first."""
        names = [n for c in reversed(type(self).__mro__) for n in getattr(c, "__slots__", ())]
        return tuple(getattr(self, name) for name in names)

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and self.slot_values() == other.slot_values()

    __hash__ = None

    def __repr__(self) -> str:
        return f"{type(self).__name__}{self.slot_values()!r}"


class Condition(Command):
    """`field operator value` of a `where`; `column` is the field's place in the text."""

    __slots__ = ("field", "operator", "value", "column")

    def __init__(self, field: str, operator: str, value: str, column: int):
        self.field = field
        self.operator = operator
        self.value = value
        self.column = column


class Show(Command):
    """Shows rows of one subject; `limit` is None for all."""

    __slots__ = ("subject", "of", "where", "limit")

    def __init__(self, subject: Subject, of: str | None, where: list[Condition], limit: int | None):
        self.subject = subject
        self.of = of
        self.where = where
        self.limit = limit


class Explain(Command):
    """Says what was decided about one request, and on what evidence."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: str):
        self.request_id = request_id


class Diff(Command):
    """Shows what changed from one version of the configuration to another."""

    __slots__ = ("old", "new")

    def __init__(self, old: int, new: int):
        self.old = old
        self.new = new


class ChangeCommand(Command):
    """Base of commands that change something.

    `expect` is the version of the configuration that the operator has seen, or None; `dry_run`
    asks what would happen.
    """

    __slots__ = ("expect", "dry_run")

    def __init__(self) -> None:
        self.expect: int | None = None
        self.dry_run = False


class SetOptions(ChangeCommand):
    """Adds an entry (`new`) or changes options of one that exists."""

    __slots__ = ("kind", "name", "options", "create")

    def __init__(self, kind: EntryKind, name: str, options: dict[str, str], create: bool):
        super().__init__()
        self.kind = kind
        self.name = name
        self.options = options
        self.create = create


class Remove(ChangeCommand):
    """Removes an entry from the configuration."""

    __slots__ = ("kind", "name")

    def __init__(self, kind: EntryKind, name: str):
        super().__init__()
        self.kind = kind
        self.name = name


class Drain(ChangeCommand):
    """Gives an upstream no new work, or (`back`) gives it work again."""

    __slots__ = ("name", "resume")

    def __init__(self, name: str, resume: bool):
        super().__init__()
        self.name = name
        self.resume = resume


class Release(ChangeCommand):
    """Lets a stopped request run or a held upload be delivered, or frees a dead VM's claim."""

    __slots__ = ("kind", "name")

    def __init__(self, kind: HeldKind, name: str):
        super().__init__()
        self.kind = kind
        self.name = name
