"""Builds the rows of `show` from the components of this daemon, without changing them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime

from expression import Error, Ok, Result

from ..config.change import Change, RemoveEntry
from ..config.document import Document
from ..exceptions import SequoiaError, StoreUnavailable
from ..fleet.fleet import FleetNode
from ..pipeline.services import Services, ServiceState
from ..policy.upstream_state import UpstreamState
from ..store.claim_admin import ClaimAdmin
from ..store.upload_index import UploadEntry
from ..store.uploads import Uploads
from ..store.versions import Versions
from ..timers import Clock
from .bases import Readiness, RowSource
from .commands import Subject
from .journal import Journal
from .rows import (
    ClaimRow,
    ConfigurationRow,
    CrashRow,
    HistoryRow,
    PoolRow,
    RuleRow,
    ServiceRow,
    ShowRow,
    UploadRow,
    UpstreamRow,
    VmRow,
)

MAX_LISTED_ROWS = 1000
"""Maximum number of claims or uploads that a command lists."""

MAX_HISTORY_VERSIONS = 100
"""Maximum number of configuration versions that a command lists."""

RowsResult = Result[list[ShowRow], SequoiaError]


class DaemonRowSource(RowSource):
    """Rows of all subjects, from the components of this daemon and from the store."""

    def __init__(
        self,
        vm: str,
        clock: Clock,
        document: Callable[[], Document],
        services: Services,
        fleet: FleetNode,
        readiness: Readiness,
        versions: Versions,
        claims: ClaimAdmin,
        uploads: Uploads,
        journal: Journal,
    ):
        self.vm = vm
        self.clock = clock
        self.document = document
        self.services = services
        self.fleet = fleet
        self.readiness = readiness
        self.versions = versions
        self.claims = claims
        self.uploads = uploads
        self.journal = journal

    async def rows(self, subject: Subject, of: str | None) -> RowsResult:
        stored = {
            Subject.CLAIMS: self._claims,
            Subject.UPLOADS: self._uploads,
            Subject.HISTORY: self._history,
        }
        if subject in stored:
            return await stored[subject]()
        local = {
            Subject.SERVICES: self._services,
            Subject.POOLS: self._pools,
            Subject.UPSTREAMS: self._upstreams,
            Subject.RULES: self._rules,
            Subject.VMS: self._vms,
            Subject.CONFIGURATION: self._configuration,
            Subject.CRASHES: self._crashes,
            Subject.REFUSALS: self.journal.refusals,
        }
        return Ok(local[subject]())

    def _services(self) -> list[ShowRow]:
        return [self._service(state) for state in self.services.states()]

    def _service(self, state: ServiceState) -> ServiceRow:
        service = state.service
        return ServiceRow(
            name=service.name,
            hosts=", ".join(service.hosts),
            path_prefix=service.path_prefix,
            upstreams=len(state.upstreams),
            queued=state.queue.waiting,
            in_flight=state.queue.running,
            tail_weight=service.tail_weight,
            probes_per_1000=service.probes_per_1000,
        )

    def _pools(self) -> list[ShowRow]:
        document = self.document()
        counts = Counter(upstream.pool for upstream in document.upstreams.values())
        return [
            PoolRow(pool.name, pool.service, counts[pool.name], pool.slots, pool.connections)
            for pool in document.pools.values()
        ]

    def _upstreams(self) -> list[ShowRow]:
        now = self.clock.now()
        return [
            self._upstream(state, upstream, now)
            for state in self.services.states()
            for upstream in state.pool.upstreams.values()
        ]

    def _upstream(self, state: ServiceState, upstream: UpstreamState, now: float) -> UpstreamRow:
        why = state.pool.why_unusable(upstream, now)
        report = upstream.report
        return UpstreamRow(
            name=upstream.name,
            vm=self.vm,
            service=state.service.name,
            pool=upstream.pool,
            address=upstream.address,
            data_centre=upstream.data_centre,
            state=why.partition(" ")[0].rstrip(",") if why else "active",
            in_flight=upstream.in_flight,
            reported=report.in_flight if report else 0,
            report_age=round(now - upstream.report_at, 3) if report else 0.0,
            latency_ms=round(upstream.latency * 1000, 3),
            failures=upstream.consecutive_failures,
            connections=upstream.connections,
            why=why,
        )

    def _rules(self) -> list[ShowRow]:
        return [
            RuleRow(
                name=rule.name,
                service=rule.service,
                order=rule.order,
                methods=", ".join(rule.methods),
                path=rule.path,
                kind=rule.kind,
                weight=rule.weight,
                window=rule.window,
                idempotent=rule.idempotent,
                key=rule.key,
                upload=rule.upload,
                hedge=rule.hedge,
            )
            for rule in self.document().rules.values()
        ]

    def _vms(self) -> list[ShowRow]:
        now = self.clock.now()
        ready, why = self.readiness.check()
        rows = []
        for member in self.fleet.members():
            rows.append(
                VmRow(
                    name=member.name,
                    seen_by=self.vm,
                    address=member.address,
                    data_centre=member.data_centre,
                    state=member.state.name.lower(),
                    incarnation=member.incarnation,
                    version=member.version,
                    since=round(now - member.since, 1),
                )
            )
        rows[0].ready = "yes" if ready else why
        return rows

    def _configuration(self) -> list[ShowRow]:
        document = self.document()
        rows = []
        for kind in ("service", "pool", "upstream", "rule"):
            for name, entry in document.entries(kind).items():
                for option, value in entry.options().items():
                    rows.append(ConfigurationRow(kind, name, option, value))
        return rows

    def _crashes(self) -> list[ShowRow]:
        now, wall = self.clock.now(), self.clock.wall()
        return [
            CrashRow(
                fingerprint=entry.fingerprint,
                service=state.service.name,
                count=len(entry.upstreams),
                upstreams=", ".join(entry.upstreams),
                stopped=entry.blocked,
                age=round(wall - entry.last_crash_at, 1),
            )
            for state in self.services.states()
            for entry in state.ledger.list_suspects(now)
        ]

    async def _claims(self) -> RowsResult:
        found = await self.claims.list_open(MAX_LISTED_ROWS)
        if found.is_error():
            return Error(read_error("claims", found.error.message))
        return Ok(
            [
                ClaimRow(
                    id=claim.row_key,
                    service=claim.row.service,
                    caller=claim.row.caller,
                    key=claim.row.key,
                    vm=claim.row.vm,
                    state=claim.row.state.value,
                    age=round(claim.open_seconds, 1),
                )
                for claim in found.ok.claims
            ]
        )

    async def _uploads(self) -> RowsResult:
        try:
            entries = await self.uploads.list_undelivered(MAX_LISTED_ROWS)
        except StoreUnavailable as error:
            return Error(read_error("uploads", str(error)))
        now = self.clock.wall()
        return Ok([upload_row(entry, now) for entry in entries])

    async def _history(self) -> RowsResult:
        found = await self.versions.history(MAX_HISTORY_VERSIONS)
        if found.is_error():
            return Error(read_error("history", found.error.message))
        return Ok(
            [
                HistoryRow(
                    row.version, row.author, format_time(row.at), summarize_change(row.change)
                )
                for row in found.ok
            ]
        )


def read_error(what: str, why: str) -> StoreUnavailable:
    """Return the error for a list that could not be read from the store."""
    return StoreUnavailable(f"Cannot read the {what} from the store: {why}.")


def format_time(wall: float) -> str:
    """Return a wall time as ISO 8601 in UTC."""
    return datetime.fromtimestamp(wall, UTC).isoformat(timespec="seconds")


def summarize_change(encoded: bytes) -> str:
    """Return a short text that lists what an encoded change sets and removes."""
    decoded = Change.decode(encoded)
    if decoded.is_error():
        return "(made by a newer release)"
    words = []
    for entry in decoded.ok.entries[:5]:
        verb = "remove" if isinstance(entry, RemoveEntry) else "set"
        words.append(f"{verb} {entry.kind} {entry.name}")
    more = len(decoded.ok.entries) - len(words)
    return "; ".join(words) + (f"; and {more} more" if more > 0 else "")


def upload_row(entry: UploadEntry, now: float) -> UploadRow:
    """Return the row of an index entry of an upload."""
    return UploadRow(
        id=entry.id,
        service=entry.service,
        caller=entry.caller,
        state=entry.state.value,
        size=entry.size,
        vm=entry.holder,
        age=round(now - entry.created, 1),
        crashed=", ".join(entry.crashed),
        error=entry.error,
    )
