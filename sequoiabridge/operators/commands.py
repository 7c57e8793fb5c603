"""Commands of the operators' language as objects: built by `parser`, run by `executor`."""

from __future__ import annotations

from enum import Enum


class Subject(Enum):
    """Subjects of `show`."""

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
    """Kinds of entries in the configuration."""

    SERVICE = "service"
    POOL = "pool"
    UPSTREAM = "upstream"
    RULE = "rule"


class HeldKind(Enum):
    """Kinds of objects that an operator can release."""

    CRASH = "crash"
    CLAIM = "claim"
    UPLOAD = "upload"


class Command:
    """Base class of commands; two are equal if their type and all slots are equal."""

    __slots__ = ()

    def slot_values(self) -> tuple:
        """Return the values of all slots, those of base classes first."""
        names = [n for c in reversed(type(self).__mro__) for n in getattr(c, "__slots__", ())]
        return tuple(getattr(self, name) for name in names)

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and self.slot_values() == other.slot_values()

    __hash__ = None

    def __repr__(self) -> str:
        return f"{type(self).__name__}{self.slot_values()!r}"


class Condition(Command):
    """A condition of `where`; `column` is the column of its field, counted from 1."""

    __slots__ = ("field", "operator", "value", "column")

    def __init__(self, field: str, operator: str, value: str, column: int):
        self.field = field
        self.operator = operator
        self.value = value
        self.column = column


class Show(Command):
    """Shows the rows of a subject; a `limit` of None applies the default limit."""

    __slots__ = ("subject", "of", "where", "limit")

    def __init__(self, subject: Subject, of: str | None, where: list[Condition], limit: int | None):
        self.subject = subject
        self.of = of
        self.where = where
        self.limit = limit


class Explain(Command):
    """Shows the decisions about a request and the data that they were based on."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: str):
        self.request_id = request_id


class Diff(Command):
    """Shows the differences between two versions of the configuration."""

    __slots__ = ("old", "new")

    def __init__(self, old: int, new: int):
        self.old = old
        self.new = new


class ChangeCommand(Command):
    """Base class of commands that make changes.

    The command fails if `expect` is given and is not the current configuration version. With
    `dry_run`, the command is validated and nothing is changed.
    """

    __slots__ = ("expect", "dry_run")

    def __init__(self) -> None:
        self.expect: int | None = None
        self.dry_run = False


class SetOptions(ChangeCommand):
    """Adds an entry if `create`, else sets options of an existing entry."""

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
    """Drains an upstream, or ends its drain if `resume`."""

    __slots__ = ("name", "resume")

    def __init__(self, name: str, resume: bool):
        super().__init__()
        self.name = name
        self.resume = resume


class Release(ChangeCommand):
    """Releases a blocked request, a held upload or an open claim."""

    __slots__ = ("kind", "name")

    def __init__(self, kind: HeldKind, name: str):
        super().__init__()
        self.kind = kind
        self.name = name
