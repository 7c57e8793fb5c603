"""The configuration in force on this VM.

Changes are committed to the platform's table, sent to the other VMs and applied there one by one,
in the order of their versions. Each VM also polls the table, and while the table is unavailable it
can get the whole document from another VM. `fleet.version_tracker` prevents a return to an older
version.
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
from .fleet.packing import unpack_change
from .logs import get_log
from .operators.bases import ConfigurationRepository
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
"""Seconds between two polls of the table for a newer version."""

PROPOSE_TIMEOUT = 5.0
"""Seconds to wait for the commit of a proposal, and again to find out a result that is unknown."""

CONFIRMATION_TIMEOUT = 1.0
"""Maximum number of seconds to wait for other VMs to confirm a version."""

CONFIRMATION_POLL_INTERVAL = 0.02
"""Seconds between two checks of the confirmations."""


class ConfigurationInForce(ConfigurationRepository, Component):
    """Keeps the configuration document that is in force on this VM.

    Args:
        versions: Reads and writes the configuration's rows in the table.
        fleet: Sends changes to other VMs and checks whether this VM is current.
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
        fleet.set_document_handlers(self.provide_document, self.receive_document)

    def subscribe(self, timers: Timers) -> None:
        """Poll the table immediately, then every `POLL_INTERVAL` seconds."""
        self.timers = timers
        timers.after(0.0, "configuration load", self.poll)
        timers.every(POLL_INTERVAL, "configuration poll", self.poll)

    def document(self) -> Document:
        return self.in_force

    async def poll(self) -> None:
        """Read the newest version from the table, and apply the changes that are missing."""
        if self.polling:
            return
        self.polling = True
        try:
            await self._poll()
        finally:
            self.polling = False

    async def at_version(self, version: int) -> Result[Document, SequoiaError]:
        """Rebuild a version from the newest snapshot up to it and the changes since."""
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
        """Commit a change and put it in force.

        Returns when the other VMs have confirmed it, or after `CONFIRMATION_TIMEOUT`.
        """
        encoded = change.encode()
        outcome = await self.versions.propose(expect, encoded, author, PROPOSE_TIMEOUT)
        if isinstance(outcome, Unproven):
            outcome = await self.versions.resolve(outcome, PROPOSE_TIMEOUT)
        if not isinstance(outcome, Accepted):
            await self.poll()
            return Error(_proposal_error(outcome))
        # Uses the proposed row, since the table may be unavailable by now.
        self._apply(outcome.row)
        await self._fetch_changes(outcome.version)
        await self._wait_for_confirmations(outcome.version)
        await curio.spawn(self.save_snapshot(outcome.version), daemon=True)
        return Ok(outcome.version)

    def count_in_force(self, version: int) -> tuple[int, int]:
        return self.fleet.count_in_force(version)

    def apply_received_changes(self) -> None:
        """Apply the changes received from other VMs that follow the version in force."""
        while (item := self.fleet.version_tracker.next_change()) is not None:
            encoded = unpack_change(item)
            if not encoded:
                self._poll_now()
                return
            self._apply(CHANGE_DECODER.decode(encoded))

    def provide_document(self) -> tuple[int, bytes]:
        """Return the version in force and its encoded document, for another VM."""
        return self.in_force.version, self.in_force.encode()

    def receive_document(self, version: int, data: bytes) -> None:
        """Put a document from another VM in force if it is newer, then apply received changes."""
        if version <= self.in_force.version:
            return
        decoded = Document.decode(data)
        if decoded.is_error() or decoded.ok.version != version:
            log.warning(
                "invalid document for version %d from another VM; requesting it again", version
            )
            return
        self._put_in_force(decoded.ok)
        self.apply_received_changes()

    def _poll_now(self) -> None:
        """Poll the table now, for a change that was too large to be sent to other VMs."""
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
            "not_current_because": self.fleet.version_tracker.why_not_ready(self.clock.now()),
        }

    async def _poll(self) -> None:
        began = self.clock.now()
        head = await self.versions.latest()
        if head.is_error():
            self.fleet.version_tracker.record_table_failure()
            return
        version = head.ok.version
        if version > self.in_force.version:
            await self._catch_up(version)
        self.fleet.version_tracker.record_table_version(version, began)

    async def _catch_up(self, version: int) -> None:
        """Read the whole configuration on a new VM, otherwise the changes that are missing."""
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
                self.fleet.version_tracker.record_table_failure()
                log.warning("cannot read the changes up to version %d", version)
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
        if not self.fleet.record_applied(document.version):
            return
        self.in_force = document
        self.applied_at = self.clock.now()
        self.on_applied(document)
        log.info("version %d by %s is in force", document.version, document.author)

    async def _wait_for_confirmations(self, version: int) -> None:
        self.fleet.track(version)
        end = self.clock.now() + CONFIRMATION_TIMEOUT
        while self.clock.now() < end:
            confirmed, live = self.count_in_force(version)
            if confirmed >= live:
                return
            await curio.sleep(CONFIRMATION_POLL_INTERVAL)

    async def save_snapshot(self, version: int) -> None:
        """Store a snapshot of `version` if one is due and the version is still in force."""
        if self.versions.is_snapshot_due(version) and self.in_force.version == version:
            await self.versions.save_snapshot(version, self.in_force.encode())


def _from_snapshot(version: int, data: bytes) -> Document:
    if version == 0:
        return Document.empty()
    return Document.decode(data).ok


def _with_change(document: Document, row: ChangeRow) -> Document:
    change = Change.decode(row.change).ok
    changed = document.with_change(change, row.version, row.author, row.at, committed=True)
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
