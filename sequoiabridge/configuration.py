"""The configuration in force on this VM: learned, applied in order, proposed, spread.

Never an older one: `fleet.currency` refuses to go back, and changes are applied one by one on top
of the version before. What is accepted is in the table first; the other VMs hear of it from the VM
that proposed it, and poll the table's head row as a backstop. While the table is down, a VM that
misses more than the others still hold as changes gets the whole document from one of them.
"""

from __future__ import annotations

from collections.abc import Callable

import curio
from expression import Error, Ok, Result

from .component import Component
from .config.change import Change
from .config.document import Document
from .exceptions import ConflictError, SequoiaError, StoreUnavailable
from .fleet.base import ConfigurationItem, Urgency
from .fleet.fleet import FleetNode
from .fleet.packing import change_of
from .logs import get_log
from .operators.bases import ConfigurationGate
from .operators.errors import NotFound
from .store.version_rows import (
    CHANGE_DECODER,
    ENCODER,
    Accepted,
    ChangeRow,
    Conflict,
    LoadedConfiguration,
    ProposalResult,
    Unproven,
)
from .store.versions import Versions
from .timers import Clock, Timers

log = get_log("configuration")

POLL_INTERVAL = 2.0
"""Seconds between two looks at the table's head row."""

PROPOSE_TIMEOUT = 5.0
"""Seconds in which a proposal is committed, or its outcome stays open."""

CONFIRMATION_TIMEOUT = 1.0
"""Seconds to wait for other VMs to confirm before the operator is answered."""

CONFIRMATION_POLL_INTERVAL = 0.02
"""Seconds between two looks at who has confirmed."""


class ConfigurationInForce(ConfigurationGate, Component):
    """Keeps the document that this VM works by.

    Args:
        versions: The table's rows of the configuration.
        fleet: Spreads changes and decides whether this VM is current.
        on_applied: Called with each document that comes into force.
    """

    name = "configuration"

    def __init__(
        self,
        versions: Versions,
        fleet: FleetNode,
        clock: Clock,
        on_applied: Callable[[Document], None],
    ):
        self.versions = versions
        self.fleet = fleet
        self.clock = clock
        self.on_applied = on_applied
        self.in_force = Document.empty()
        self.applied_at = clock.now()
        self.polling = False
        self.timers: Timers | None = None
        fleet.subscribe(ConfigurationItem, lambda item, origin: self.apply_received_changes())
        fleet.exchange_documents(self.provide_document, self.receive_document)

    def subscribe(self, timers: Timers) -> None:
        """Look at the table at once, then every `POLL_INTERVAL` seconds."""
        self.timers = timers
        timers.after(0.0, "configuration load", self.poll)
        timers.every(POLL_INTERVAL, "configuration poll", self.poll)

    def document(self) -> Document:
        return self.in_force

    async def poll(self) -> None:
        """Learn the newest version from the table, and fetch what is missing from there."""
        if self.polling:
            return
        self.polling = True
        try:
            await self._poll()
        finally:
            self.polling = False

    async def at_version(self, version: int) -> Result[Document, SequoiaError]:
        """Build an older version from the newest snapshot before it and the changes since."""
        snapshot = await self.versions.snapshot(version)
        if snapshot.is_error():
            return Error(StoreUnavailable(snapshot.error.message))
        document = _from_snapshot(snapshot.ok.version, snapshot.ok.data)
        while document.version < version:
            rows = await self.versions.changes_since(document.version)
            if rows.is_error():
                return Error(StoreUnavailable(rows.error.message))
            wanted = [row for row in rows.ok if row.version <= version]
            if not wanted:
                return Error(NotFound(f"Version {version} is not kept; see show history."))
            for row in wanted:
                document = _with_change(document, row)
        return Ok(document)

    async def propose(self, change: Change, author: str, expect: int) -> Result[int, SequoiaError]:
        """Commit a change; answered once it is proven and other VMs have it, or a second passed."""
        encoded = change.encode()
        outcome = await self.versions.propose(expect, encoded, author, PROPOSE_TIMEOUT)
        if isinstance(outcome, Unproven):
            outcome = await self.versions.resolve(outcome, PROPOSE_TIMEOUT)
        if not isinstance(outcome, Accepted):
            await self.poll()
            return Error(_proposal_error(outcome))
        # What was proposed is at hand: the table may be down by now.
        self._apply(outcome.row)
        await self._fetch_changes(outcome.version)
        await self._wait_for_confirmations(outcome.version)
        await curio.spawn(self.save_snapshot(outcome.version), daemon=True)
        return Ok(outcome.version)

    def spread(self, version: int) -> tuple[int, int]:
        return self.fleet.spread(version)

    def apply_received_changes(self) -> None:
        """Apply the changes heard from other VMs that follow the version in force."""
        while (item := self.fleet.currency.take()) is not None:
            encoded = change_of(item)
            if not encoded:
                self._poll_now()
                return
            self._apply(CHANGE_DECODER.decode(encoded))

    def provide_document(self) -> tuple[int, bytes]:
        """Return the version in force and its document, for a VM that asks for all of it."""
        return self.in_force.version, self.in_force.encode()

    def receive_document(self, version: int, data: bytes) -> None:
        """Put a document that another VM gave in force, if it is newer, and what follows it."""
        if version <= self.in_force.version:
            return
        decoded = Document.decode(data)
        if decoded.is_error() or decoded.ok.version != version:
            log.warning("A VM gave a document %d that can't be used; asking again.", version)
            return
        self._put_in_force(decoded.ok)
        self.apply_received_changes()

    def _poll_now(self) -> None:
        """Read the table now: a change was too large to be spread."""
        if self.timers is not None:
            self.timers.after(0.0, "configuration read", self.poll)

    def dump(self) -> dict:
        return {
            "version": self.in_force.version,
            "author": self.in_force.author,
            "in_force_s": round(self.clock.now() - self.applied_at, 1),
            "services": len(self.in_force.services),
            "pools": len(self.in_force.pools),
            "upstreams": len(self.in_force.upstreams),
            "rules": len(self.in_force.rules),
            "not_current_because": self.fleet.currency.why(self.clock.now()),
        }

    async def _poll(self) -> None:
        began = self.clock.now()
        head = await self.versions.latest()
        if head.is_error():
            self.fleet.currency.table_failed()
            return
        version = head.ok.version
        if version > self.in_force.version:
            await self._catch_up(version)
        self.fleet.currency.table(version, began)

    async def _catch_up(self, version: int) -> None:
        """Read what is missing from the table: all of it on a new VM, else the changes since."""
        if self.in_force.version == 0:
            loaded = await self.versions.load()
            if loaded.is_ok():
                self._load_snapshot(loaded.ok)
            return
        await self._fetch_changes(version)

    async def _fetch_changes(self, version: int) -> None:
        while self.in_force.version < version:
            rows = await self.versions.changes_since(self.in_force.version)
            if rows.is_error() or not rows.ok:
                self.fleet.currency.table_failed()
                log.warning("Cannot read the changes up to version %d yet.", version)
                return
            for row in rows.ok:
                self._apply(row)

    def _load_snapshot(self, loaded: LoadedConfiguration) -> None:
        document = _from_snapshot(loaded.snapshot.version, loaded.snapshot.data)
        if loaded.snapshot.version > self.in_force.version:
            self._put_in_force(document)
        for row in loaded.changes:
            self._apply(row)

    def _apply(self, row: ChangeRow) -> None:
        if row.version != self.in_force.version + 1:
            return
        self._put_in_force(_with_change(self.in_force, row))
        encoded = ENCODER.encode(row)
        self.fleet.publish(ConfigurationItem(row.version, encoded), Urgency.CONFIGURATION)

    def _put_in_force(self, document: Document) -> None:
        if not self.fleet.applied(document.version):
            return
        self.in_force = document
        self.applied_at = self.clock.now()
        self.on_applied(document)
        log.info("Version %d by %s is in force.", document.version, document.author)

    async def _wait_for_confirmations(self, version: int) -> None:
        self.fleet.track(version)
        end = self.clock.now() + CONFIRMATION_TIMEOUT
        while self.clock.now() < end:
            confirmed, live = self.spread(version)
            if confirmed >= live:
                return
            await curio.sleep(CONFIRMATION_POLL_INTERVAL)

    async def save_snapshot(self, version: int) -> None:
        """Store the document as of `version`, if one is due and it is still in force."""
        if self.versions.is_snapshot_due(version) and self.in_force.version == version:
            await self.versions.save_snapshot(version, self.in_force.encode())


def _from_snapshot(version: int, data: bytes) -> Document:
    if version == 0:
        return Document.empty()
    return Document.decode(data).ok


def _with_change(document: Document, row: ChangeRow) -> Document:
    change = Change.decode(row.change).ok
    changed = document.changed(change, row.version, row.author, row.at, committed=True)
    return changed.ok


def _proposal_error(outcome: ProposalResult) -> SequoiaError:
    if isinstance(outcome, Conflict):
        return ConflictError(
            f"Version {outcome.version} by {outcome.author} came first, at {outcome.at:.0f}; "
            "look at it and propose the change again."
        )
    if isinstance(outcome, Unproven):
        return StoreUnavailable(
            f"Whether version {outcome.version} was accepted is not known yet: {outcome.message}."
        )
    return StoreUnavailable(f"The change was not accepted: {outcome.message}.")
