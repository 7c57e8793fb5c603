"""The fleet's configuration: services, pools, upstreams and rules under one version.

Documents are immutable. `with_change` returns a new one that shares all untouched entries and
indexes with the old one.
"""

from collections.abc import Iterator
from typing import Self

from expression import Ok, Result

from .change import ENCODER, SNAPSHOT_DECODER, Change, SetEntry, Snapshot, decode_record
from .draft import Draft
from .ini import write_sections
from .kinds import KINDS, EntryId
from .matching import HostTable, RuleTable, covers, normalize_path
from .pool import Pool
from .problem import Problem
from .rule import Rule
from .section import Section
from .service import Service
from .upstream import Upstream


class Document:
    """One version of the fleet's configuration.

    Attributes:
        version: 0 for the empty document; increases with each accepted change.
        author: Who made the last change.
        changed_at: Time of that change in seconds since 1970.
        services, pools, upstreams, rules: Entries by name.
        unknown: Options of entries whose kind this release does not support, by (kind, name).
        by_address: Names of upstreams by address.
        dependants: Ids of the entries that refer to a service or pool, by its (kind, name).
    """

    __slots__ = (
        "version",
        "author",
        "changed_at",
        "services",
        "pools",
        "upstreams",
        "rules",
        "unknown",
        "by_address",
        "dependants",
        "host_table",
        "rule_tables",
        "upstream_lists",
    )

    def __init__(self, version: int, author: str, at: float):
        self.version = version
        self.author = author
        self.changed_at = at
        self.services: dict[str, Service] = {}
        self.pools: dict[str, Pool] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.rules: dict[str, Rule] = {}
        self.unknown: dict[EntryId, dict[str, str]] = {}
        self.by_address: dict[str, str] = {}
        self.dependants: dict[EntryId, set[EntryId]] = {}
        self.host_table: HostTable | None = None
        self.rule_tables: dict[str, RuleTable] = {}
        self.upstream_lists: dict[str, tuple[Upstream, ...]] = {}

    @classmethod
    def empty(cls) -> Self:
        """Return the document before the first change."""
        return cls(0, "", 0.0)

    def entries(self, kind: str) -> dict[str, Section]:
        """Return the entries of one kind by name."""
        return getattr(self, kind + "s")

    def route(
        self, host: bytes, method: bytes, target: bytes
    ) -> tuple[Service, Rule] | tuple[None, None]:
        """Return the service and the rule of a request, or two None if no service matches."""
        if self.host_table is None:
            self.host_table = HostTable(self.services.values())
        path = normalize_path(target)
        service = self.host_table.find_path(host, path)
        if service is None:
            return None, None
        return service, self._rule_table(service.name).find_path(method, path)

    def service_for(self, host: bytes | str, path: bytes | str) -> Service | None:
        """Return the service of a request by its `Host` header and target, or None."""
        if self.host_table is None:
            self.host_table = HostTable(self.services.values())
        return self.host_table.find(host, path)

    def rule_for(self, service: Service | str, method: bytes | str, path: bytes | str) -> Rule:
        """Return the first rule of `service` that matches, else `Rule.unmatched`."""
        name = service if isinstance(service, str) else service.name
        return self._rule_table(name).find(method, path)

    def _rule_table(self, service: str) -> RuleTable:
        table = self.rule_tables.get(service)
        if table is None:
            table = self.rule_tables[service] = RuleTable(service, self.rules_for_service(service))
        return table

    def rules_for_service(self, service: str) -> list[Rule]:
        """Return the rules of a service in the order in which they are tried."""
        names = self.dependants.get(("service", service), ())
        rules = [self.rules[name] for kind, name in names if kind == "rule"]
        return sorted(rules, key=lambda rule: (rule.order, rule.name))

    def upstreams_of(self, service: Service | str) -> tuple[Upstream, ...]:
        """Return the upstreams of all pools of a service, sorted by name."""
        name = service if isinstance(service, str) else service.name
        found = self.upstream_lists.get(name)
        if found is None:
            pools = [n for kind, n in self.dependants.get(("service", name), ()) if kind == "pool"]
            names = sorted(n for pool in pools for _, n in self.dependants.get(("pool", pool), ()))
            found = self.upstream_lists[name] = tuple(self.upstreams[n] for n in names)
        return found

    def slots_of(self, upstream: Upstream) -> int:
        """Return the number of requests that an upstream runs at the same time."""
        return upstream.slots or self.pools[upstream.pool].slots

    def connections_of(self, upstream: Upstream) -> int:
        """Return the number of connections that an upstream accepts from all VMs together."""
        return upstream.connections or self.pools[upstream.pool].connections

    def service_of(self, upstream: Upstream) -> str:
        """Return the name of an upstream's service."""
        return self.pools[upstream.pool].service

    def with_change(
        self,
        change: Change,
        version: int,
        author: str,
        at: float,
        *,
        committed: bool = False,
        source: str = "",
    ) -> Result[Self, list[Problem]]:
        """Return the validated document after `change`, or every problem found.

        Args:
            committed: The fleet has accepted the change already, perhaps in a newer release: keep
                entries and options that this release does not support instead of rejecting them.
            source: Origin of the change, shown in problems.
        """
        new = type(self)(version, author, at)
        source = source or (f"change by {author}" if author else "change")
        return Draft(self, new, source, committed).apply(change)

    def warnings(self, source: str = "configuration") -> list[Problem]:
        """Return warnings about valid entries; slow for a large document."""
        found = list(find_unsupported(self, source))
        for service in self.services:
            found += find_unreachable_rules(self.rules_for_service(service), source)
            if not self.upstreams_of(service):
                wrong, instead = "the service has no upstream", "add a pool with upstreams"
                header = f"service {service}"
                found.append(Problem(source, header, "", wrong, instead, warning=True))
        return found

    def to_set_entries(self) -> Iterator[SetEntry]:
        """Yield a `SetEntry` for each entry, after the entry that it refers to."""
        for kind in KINDS:
            entries = self.entries(kind)
            for name in sorted(entries):
                yield SetEntry(kind, name, entries[name].options())
        for (kind, name), options in sorted(self.unknown.items()):
            yield SetEntry(kind, name, options)

    def merge_options(self, kind: str, name: str, options: dict[str, str]) -> SetEntry:
        """Return a `SetEntry` that changes only the given options of an existing entry."""
        present = self.entries(kind).get(name) if kind in KINDS else None
        return SetEntry(kind, name, {**(present.options() if present else {}), **options})

    def to_ini(self) -> str:
        """Return the document as INI text, readable by `load_document`."""
        return write_sections({f"{e.kind} {e.name}": e.options for e in self.to_set_entries()})

    def encode(self) -> bytes:
        """Return the document as MessagePack."""
        return ENCODER.encode(
            Snapshot(self.version, self.author, self.changed_at, list(self.to_set_entries()))
        )

    @classmethod
    def decode(cls, data: bytes, source: str = "document") -> Result[Self, list[Problem]]:
        """Decode what `encode` wrote, also in a newer release with the same format version."""
        record = decode_record(SNAPSHOT_DECODER, data, source)
        if record.is_error():
            return record
        found: Snapshot = record.ok
        if found.version == 0 and not found.entries:
            return Ok(cls.empty())
        change = Change(list(found.entries))
        return cls.empty().with_change(
            change, found.version, found.author, found.at, committed=True, source=source
        )

    def dump(self) -> dict:
        """Return version, author, time and number of entries for the state dump."""
        counts = {kind + "s": len(self.entries(kind)) for kind in KINDS}
        return {"version": self.version, "author": self.author, "at": self.changed_at, **counts}


def find_unreachable_rules(rules: list[Rule], source: str) -> list[Problem]:
    """Return a warning for each rule that never matches because an earlier rule covers it."""
    found = []
    for place, later in enumerate(rules):
        earlier = next((rule for rule in rules[:place] if covers(rule, later)), None)
        if earlier is None:
            continue
        wrong = f"it never matches, because the earlier [rule {earlier.name}] covers it"
        instead = f"set an order below {earlier.order}, or remove the rule"
        found.append(Problem(source, f"rule {later.name}", "path", wrong, instead, warning=True))
    return found


def find_unsupported(document: Document, source: str) -> Iterator[Problem]:
    """Yield a warning for each option and entry that this release keeps but does not support."""
    instead = "upgrade this daemon to a release that supports it"
    for kind in KINDS:
        for name, entry in document.entries(kind).items():
            for key in entry.extra:
                wrong = "this release does not support the option and keeps it without effect"
                yield Problem(source, f"{kind} {name}", key, wrong, instead, warning=True)
    for kind, name in document.unknown:
        wrong = "this release does not support the section and keeps it without effect"
        yield Problem(source, f"{kind} {name}", "", wrong, instead, warning=True)
