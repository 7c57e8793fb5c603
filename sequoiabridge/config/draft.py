"""Applies a change to a document: parses its entries and checks the references between entries."""

from __future__ import annotations

from difflib import get_close_matches
from typing import TYPE_CHECKING

from expression import Error, Ok, Result

from .change import Change, RemoveEntry, SetEntry
from .fields import InvalidValue, Name
from .kinds import KINDS, OWNERS, EntryId
from .problem import Problem
from .section import Section

if TYPE_CHECKING:
    from .document import Document

NAME_FIELD = Name("")

MAX_LISTED_DEPENDANTS = 3
"""Maximum number of dependent entries that an error message lists."""


class Draft:
    """A new document under construction; only what the change touches is copied and checked.

    Attributes:
        old, new: The documents before and after the change.
        committed: Whether unsupported entries and options are kept instead of rejected.
        replaced: Sections of the old document that were replaced or removed.
        added: New sections.
        removed: Entries that the change removes.
        unreadable: Entries with errors; references to them are not reported.
        copied_dependants: Owners whose set of dependants has been copied already.
    """

    __slots__ = (
        "old",
        "new",
        "source",
        "committed",
        "problems",
        "replaced",
        "added",
        "removed",
        "unreadable",
        "copied_dependants",
    )

    def __init__(self, old: Document, new: Document, source: str, committed: bool):
        self.old = old
        self.new = new
        self.source = source
        self.committed = committed
        self.problems: list[Problem] = []
        self.replaced: list[Section] = []
        self.added: dict[EntryId, Section] = {}
        self.removed: set[EntryId] = set()
        self.unreadable: set[EntryId] = set()
        self.copied_dependants: set[EntryId] = set()

    def apply(self, change: Change) -> Result[Document, list[Problem]]:
        """Return the new document, or every problem of the change."""
        if self.new.version <= self.old.version:
            wrong = f"version {self.new.version} is not newer than {self.old.version}"
            return Error([Problem(self.source, "", "", wrong, "use a higher version")])
        self.copy_touched_entries({entry.kind for entry in change.entries})
        for entry in change.entries:
            if isinstance(entry, SetEntry):
                self.set_entry(entry)
            else:
                self.remove_entry(entry)
        self.check_references()
        if self.problems:
            return Error(self.problems)
        self.reuse_lookup_tables()
        return Ok(self.new)

    def copy_touched_entries(self, touched: set[str]) -> None:
        """Share the old document's maps, or copy them if the change touches them."""
        old, new = self.old, self.new
        for kind in KINDS:
            entries = old.entries(kind)
            setattr(new, kind + "s", dict(entries) if kind in touched else entries)
        new.by_address = dict(old.by_address) if "upstream" in touched else old.by_address
        new.dependants = dict(old.dependants)
        new.unknown = dict(old.unknown)

    def add_problem(self, entry: EntryId, key: str, wrong: str, instead: str) -> None:
        """Record a problem of an entry."""
        self.problems.append(Problem(self.source, " ".join(entry), key, wrong, instead))

    def set_entry(self, entry: SetEntry) -> None:
        """Parse an entry and add it to the new document."""
        kind, name = entry_id = entry.kind, entry.name
        if kind not in KINDS:
            self.keep_unknown_entry(entry)
            return
        try:
            NAME_FIELD.parse(name)
        except InvalidValue as error:
            self.add_problem(entry_id, "", error.wrong, error.instead)
            return
        read = KINDS[kind].read(name, entry.options, self.source, keep_unknown=self.committed)
        if read.is_error():
            self.problems += read.error
            self.unreadable.add(entry_id)
            return
        self.delete_entry(entry_id)
        self.new.entries(kind)[name] = self.added[entry_id] = read.ok
        self.removed.discard(entry_id)
        if kind in OWNERS:
            self.mutable_dependants(owner_of(read.ok)).add(entry_id)

    def keep_unknown_entry(self, entry: SetEntry) -> None:
        """Keep a committed entry of an unsupported kind; reject any other."""
        entry_id = entry.kind, entry.name
        if self.committed:
            self.new.unknown[entry_id] = entry.options
            return
        closest = get_close_matches(entry.kind, KINDS, n=1)
        instead = f"write {closest[0]}" if closest else "use one of " + ", ".join(KINDS)
        self.add_problem(entry_id, "", "there is no such kind of section", instead)

    def remove_entry(self, entry: RemoveEntry) -> None:
        """Remove an entry, or record that it does not exist."""
        entry_id = entry.kind, entry.name
        if self.new.unknown.pop(entry_id, None) is not None:
            return
        if entry.kind not in KINDS or not self.delete_entry(entry_id):
            self.add_problem(
                entry_id, "", "there is no entry of this name to remove", "omit it from the change"
            )
            return
        self.removed.add(entry_id)

    def delete_entry(self, entry_id: EntryId) -> bool:
        """Remove an entry from the maps and indexes; return False if it does not exist."""
        present = self.new.entries(entry_id[0]).pop(entry_id[1], None)
        if present is None:
            return False
        if self.added.pop(entry_id, None) is None:
            self.replaced.append(present)
        if present.heading in OWNERS:
            self.mutable_dependants(owner_of(present)).discard(entry_id)
        if present.heading == "upstream":
            self.new.by_address.pop(present.address, None)
        return True

    def mutable_dependants(self, owner: EntryId) -> set[EntryId]:
        """Return the ids of the entries that refer to `owner`, as a set that may be modified."""
        if owner not in self.copied_dependants:
            self.copied_dependants.add(owner)
            self.new.dependants[owner] = set(self.new.dependants.get(owner, ()))
        return self.new.dependants[owner]

    def check_references(self) -> None:
        """Check the touched entries against the whole document."""
        for entry_id, section in self.added.items():
            if entry_id[0] in OWNERS:
                self.check_owner_exists(entry_id, owner_of(section))
            if entry_id[0] == "upstream":
                self.check_address_unique(entry_id, section.address)
        for entry_id in self.removed:
            self.check_no_dependants(entry_id)
        if any(kind == "service" for kind, _ in self.added):
            self.check_prefixes_unique()

    def check_owner_exists(self, entry_id: EntryId, owner: EntryId) -> None:
        """Check that the entry that `entry_id` refers to exists."""
        kind, name = owner
        entries = self.new.entries(kind)
        if name in entries or owner in self.removed or owner in self.unreadable:
            return
        closest = get_close_matches(name, entries, n=1)
        instead = f"write {closest[0]}" if closest else f"add [{kind} {name}]"
        self.add_problem(entry_id, kind, f"there is no {kind} {name}", instead)

    def check_address_unique(self, entry_id: EntryId, address: str) -> None:
        """Check that no other upstream has this address; its connections would count twice."""
        other = self.new.by_address.setdefault(address, entry_id[1])
        if other != entry_id[1]:
            wrong = f"{address} is also the address of upstream {other}"
            self.add_problem(
                entry_id,
                "address",
                wrong,
                "give each upstream its own address, or remove one of them",
            )

    def check_no_dependants(self, entry_id: EntryId) -> None:
        """Check that no entry refers to a removed one."""
        left = sorted(" ".join(dependant) for dependant in self.new.dependants.get(entry_id, ()))
        if not left:
            self.new.dependants.pop(entry_id, None)
            return
        shown = ", ".join(left[:MAX_LISTED_DEPENDANTS])
        more = (
            f" and {len(left) - MAX_LISTED_DEPENDANTS} more"
            if len(left) > MAX_LISTED_DEPENDANTS
            else ""
        )
        self.add_problem(
            entry_id, "", f"it is still used by {shown}{more}", "remove these entries too"
        )

    def check_prefixes_unique(self) -> None:
        """Check that no two services have the same host and path prefix."""
        seen: dict[tuple[str, str], str] = {}
        for name, service in self.new.services.items():
            for host in service.hosts or ("*",):
                other = seen.setdefault((host, service.path_prefix), name)
                if other == name:
                    continue
                wrong = f"service {other} has the same host and path prefix"
                self.add_problem(("service", name), "path_prefix", wrong, "change one of them")

    def reuse_lookup_tables(self) -> None:
        """Reuse the lookup tables that the change does not affect."""
        touched = [*self.replaced, *self.added.values()]
        kinds = {section.heading for section in touched}
        if "service" not in kinds:
            self.new.host_table = self.old.host_table
        rules = {s.service for s in touched if s.heading == "rule"}
        self.new.rule_tables = omit_keys(self.old.rule_tables, rules)
        services = {s.service for s in touched if s.heading == "pool"}
        # Removed and moved pools are among `touched`, so looking up the new pools is enough.
        pools = self.new.pools
        names = {s.pool for s in touched if s.heading == "upstream"}
        services |= {pools[name].service for name in names if name in pools}
        self.new.upstream_lists = omit_keys(self.old.upstream_lists, services)


def owner_of(section: Section) -> EntryId:
    """Return the id of the entry that a section refers to."""
    kind = OWNERS[section.heading]
    return kind, getattr(section, kind)


def omit_keys(tables: dict, names: set[str]) -> dict:
    """Return a copy of `tables` without the keys in `names`."""
    return {name: table for name, table in tables.items() if name not in names}
