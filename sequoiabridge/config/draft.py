"""Applies one change to a document: reads the entries, checks references, shares the rest."""

from __future__ import annotations

from difflib import get_close_matches
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from .change import Change, RemoveEntry, SetEntry
from .fields import BadValue, Name
from .kinds import KINDS, OWNERS, EntryId
from .problem import Problem
from .section import Section

if TYPE_CHECKING:
    from .document import Document

NAMES = Name("")

SHOWN_DEPENDANTS = 3
"""Names of dependants that a message lists."""


class Draft:
    """A document in the making; only what a change touches is copied and checked.

    Attributes:
        old, new: The documents before and after.
        committed: Keep what this release does not understand.
        before: What was replaced or removed.
        set: What is new, by kind and name.
        removed: What is gone.
        failed: What could not be read, so that what refers to it is not reported as well.
        copied: Owners whose set of members is the draft's own already.
    """

    __slots__ = (
        "old",
        "new",
        "source",
        "committed",
        "problems",
        "before",
        "set",
        "removed",
        "failed",
        "copied",
    )

    def __init__(self, old: Document, new: Document, source: str, committed: bool):
        self.old = old
        self.new = new
        self.source = source
        self.committed = committed
        self.problems: list[Problem] = []
        self.before: list[Section] = []
        self.set: dict[EntryId, Section] = {}
        self.removed: set[EntryId] = set()
        self.failed: set[EntryId] = set()
        self.copied: set[EntryId] = set()

    def apply(self, change: Change) -> Result[Document, list[Problem]]:
        """Return the new document or every problem of the change."""
        if self.new.version <= self.old.version:
            wrong = f"version {self.new.version} is not newer than {self.old.version}"
            return Error([Problem(self.source, "", "", wrong, "use a higher version")])
        self.share({entry.kind for entry in change.entries})
        for entry in change.entries:
            if isinstance(entry, SetEntry):
                self.put(entry)
            else:
                self.remove(entry)
        self.check()
        if self.problems:
            return Error(self.problems)
        self.keep_tables()
        return Ok(self.new)

    def share(self, touched: set[str]) -> None:
        """Take the old document's maps, copied where the change touches them."""
        old, new = self.old, self.new
        for kind in KINDS:
            entries = old.entries(kind)
            setattr(new, kind + "s", dict(entries) if kind in touched else entries)
        new.by_address = dict(old.by_address) if "upstream" in touched else old.by_address
        new.members = dict(old.members)
        new.unknown = dict(old.unknown)

    def problem(self, entry: EntryId, key: str, wrong: str, instead: str) -> None:
        """Note what is wrong."""
        self.problems.append(Problem(self.source, " ".join(entry), key, wrong, instead))

    def put(self, entry: SetEntry) -> None:
        """Read one entry and put it in."""
        kind, name = at = entry.kind, entry.name
        if kind not in KINDS:
            self.put_unknown(entry)
            return
        try:
            NAMES.parse(name)
        except BadValue as error:
            self.problem(at, "", error.wrong, error.instead)
            return
        read = KINDS[kind].read(name, entry.options, self.source, keep_unknown=self.committed)
        if read.is_error():
            self.problems += read.error
            self.failed.add(at)
            return
        self.take_out(at)
        self.new.entries(kind)[name] = self.set[at] = read.ok
        self.removed.discard(at)
        if kind in OWNERS:
            self.members_of(owner_of(read.ok)).add(at)

    def put_unknown(self, entry: SetEntry) -> None:
        """Keep an entry of a kind that only a newer release knows, if it is committed."""
        at = entry.kind, entry.name
        if self.committed:
            self.new.unknown[at] = entry.options
            return
        near = get_close_matches(entry.kind, KINDS, n=1)
        instead = f"write {near[0]}" if near else "use one of " + ", ".join(KINDS)
        self.problem(at, "", "there is no such kind of section", instead)

    def remove(self, entry: RemoveEntry) -> None:
        """Take one entry out."""
        at = entry.kind, entry.name
        if self.new.unknown.pop(at, None) is not None:
            return
        if entry.kind not in KINDS or not self.take_out(at):
            self.problem(at, "", "there is nothing of this name to remove", "leave it out")
            return
        self.removed.add(at)

    def take_out(self, at: EntryId) -> bool:
        """Remove the present entry, and its place in the indexes; False if there is none."""
        present = self.new.entries(at[0]).pop(at[1], None)
        if present is None:
            return False
        if self.set.pop(at, None) is None:
            self.before.append(present)
        if present.heading in OWNERS:
            self.members_of(owner_of(present)).discard(at)
        if present.heading == "upstream":
            self.new.by_address.pop(present.address, None)
        return True

    def members_of(self, owner: EntryId) -> set[EntryId]:
        """Return what refers to `owner`, as a set that may be changed."""
        if owner not in self.copied:
            self.copied.add(owner)
            self.new.members[owner] = set(self.new.members.get(owner, ()))
        return self.new.members[owner]

    def check(self) -> None:
        """Check what the change touches against the whole document."""
        for at, section in self.set.items():
            if at[0] in OWNERS:
                self.check_owner(at, owner_of(section))
            if at[0] == "upstream":
                self.check_address(at, section.address)
        for at in self.removed:
            self.check_dependants(at)
        if any(kind == "service" for kind, _ in self.set):
            self.check_prefixes()

    def check_owner(self, at: EntryId, owner: EntryId) -> None:
        """The entry that `at` refers to must be there."""
        kind, name = owner
        entries = self.new.entries(kind)
        if name in entries or owner in self.removed or owner in self.failed:
            return
        near = get_close_matches(name, entries, n=1)
        instead = f"write {near[0]}" if near else f"add [{kind} {name}]"
        self.problem(at, kind, f"there is no {kind} {name}", instead)

    def check_address(self, at: EntryId, address: str) -> None:
        """Two upstreams must not have one address: they would share its connections twice."""
        other = self.new.by_address.setdefault(address, at[1])
        if other != at[1]:
            wrong = f"{address} is the address of upstream {other} as well"
            self.problem(at, "address", wrong, "give each its own, or remove one of the two")

    def check_dependants(self, at: EntryId) -> None:
        """What is gone must not be referred to."""
        left = sorted(" ".join(member) for member in self.new.members.get(at, ()))
        if not left:
            self.new.members.pop(at, None)
            return
        shown = ", ".join(left[:SHOWN_DEPENDANTS])
        more = f" and {len(left) - SHOWN_DEPENDANTS} more" if len(left) > SHOWN_DEPENDANTS else ""
        self.problem(at, "", f"it is still used by {shown}{more}", "remove these as well")

    def check_prefixes(self) -> None:
        """Two services must not have one host and path prefix."""
        seen: dict[tuple[str, str], str] = {}
        for name, service in self.new.services.items():
            for host in service.hosts or ("*",):
                other = seen.setdefault((host, service.path_prefix), name)
                if other == name:
                    continue
                wrong = f"service {other} has the same host and path prefix"
                self.problem(("service", name), "path_prefix", wrong, "make one of them differ")

    def keep_tables(self) -> None:
        """Keep the indexes that the change does not touch."""
        touched = [*self.before, *self.set.values()]
        kinds = {section.heading for section in touched}
        if "service" not in kinds:
            self.new.host_table = self.old.host_table
        rules = {s.service for s in touched if s.heading == "rule"}
        self.new.rule_tables = without(self.old.rule_tables, rules)
        services = {s.service for s in touched if s.heading == "pool"}
        # A pool that is gone or moved is touched itself, so the new pools are enough here.
        pools = self.new.pools
        names = {s.pool for s in touched if s.heading == "upstream"}
        services |= {pools[name].service for name in names if name in pools}
        self.new.upstream_lists = without(self.old.upstream_lists, services)


def owner_of(section: Section) -> EntryId:
    """Return kind and name of what an entry refers to."""
    kind = OWNERS[section.heading]
    return kind, getattr(section, kind)


def without(tables: dict, names: set[str]) -> dict:
    """Return a copy of `tables` that lacks `names`."""
    return {name: table for name, table in tables.items() if name not in names}
