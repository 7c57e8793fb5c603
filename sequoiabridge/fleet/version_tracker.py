"""Decides whether this VM's configuration is the newest, and tracks how far a version has spread.

No I/O: versions read from the table, versions of other VMs and the size of the fleet are passed in
as events. See docs/design/currency.md for the guarantees and their limits.
"""

from collections.abc import Iterable

from .base import ConfigurationItem
from .packing import has_change

CONFIRMATION_TTL = 6.0
"""Seconds after which a confirmation by the table or a VM expires."""
MIN_CONFIRMING_PEERS = 3
"""Minimum number of other VMs with a current confirmation while the table is unavailable, so that
an isolated VM does not stay ready. All other live VMs suffice in a smaller fleet."""
FETCH_DELAY = 0.3
"""Seconds to wait for a missing change before requesting it from another VM."""
INITIAL_SNAPSHOT_DELAY = 3.0
"""Seconds after which a VM without a configuration requests the whole document from another."""
SNAPSHOT_DELAY = 15.0
"""Seconds after which a VM that is behind requests the whole document; longer, since fetching the
missing changes costs less."""
FETCH_INTERVAL = 0.5
"""Minimum seconds between two requests for missing changes."""


class VersionTracker:
    """Decides if the configuration in force is known to be the newest.

    Attributes:
        in_force: Version in force here, 0 if there is none.
        newest: Newest version known to be committed, 0 if there is none.
        pending: Changes by version that wait for those before them.
        confirmed_at: When the last answered ping to each VM was sent.
        table_read_at: When the last successful read of the table began, or None.
        live: Number of live VMs, this one included.
        expected: Number of VMs the fleet should have, this one included.
    """

    def __init__(self, now: float):
        self.in_force = 0
        self.newest = 0
        self.newest_at = now
        self.behind_since = now
        self.pending: dict[int, ConfigurationItem] = {}
        self.confirmed_at: dict[str, float] = {}
        self.table_read_at: float | None = None
        self.table_unavailable = False
        self.live = 1
        self.expected = 1
        self.fetched_at = float("-inf")

    # Events.

    def record_table_version(self, version: int, now: float) -> None:
        """Record the newest version in the table; `now` is when the read began."""
        self.table_read_at = now
        self.table_unavailable = False
        self._record_newest(version, now)

    def record_table_failure(self) -> None:
        """Record that the table could not be read: large changes are fetched from other VMs."""
        self.table_unavailable = True

    def record_peer_version(self, version: int, now: float) -> None:
        """Record the version in force on another VM, from a message that is not a replay."""
        self._record_newest(version, now)

    def record_confirmation(self, name: str, at: float) -> None:
        """Record that the VM `name` answered a ping sent at `at` with its version.

        Only a round trip confirms the current version: after a pause of this process, old
        messages may still arrive.
        """
        self.confirmed_at[name] = max(at, self.confirmed_at.get(name, at))

    def set_fleet_size(self, live: int, expected: int) -> None:
        """Set the number of live and of expected VMs, both including this one."""
        self.live, self.expected = live, expected

    def discard_confirmations(self) -> None:
        """Discard all confirmations after a pause of this process."""
        self.table_read_at = None
        self.confirmed_at.clear()

    def add_change(self, item: ConfigurationItem, now: float) -> bool:
        """Store a change until it can be applied; return False if it is old or already stored."""
        self._record_newest(item.version, now)
        pending = self.pending.get(item.version)
        known = pending is not None and (has_change(pending) or not has_change(item))
        if item.version <= self.in_force or known:
            return False
        self.pending[item.version] = item
        return True

    def next_change(self) -> ConfigurationItem | None:
        """Return the change that follows the version in force, or None if it is missing.

        A change without content is too large to be spread and must be read from the table.
        """
        return self.pending.get(self.in_force + 1)

    def record_applied(self, version: int, now: float) -> bool:
        """Record that `version` is in force; return False, changing nothing, if it is older."""
        if version < self.in_force:
            return False
        self.in_force = version
        self._record_newest(version, now)
        self.pending = {v: item for v, item in self.pending.items() if v > version}
        return True

    # Queries.

    def next_fetch(self, now: float) -> range | None:
        """Return the versions to request from another VM now, or None.

        Returns a range at most once per `FETCH_INTERVAL`.
        """
        first = self.in_force + 1
        while self._is_obtainable(first):
            first += 1
        if first > self.newest or now - self.newest_at < FETCH_DELAY:
            return None
        if now - self.fetched_at < FETCH_INTERVAL:
            return None
        self.fetched_at = now
        last = first
        while last < self.newest and not self._is_obtainable(last + 1):
            last += 1
        return range(first, last + 1)

    def wants_snapshot(self, now: float) -> bool:
        """Return True if the whole document is needed: changes did not bring the newest version."""
        after = SNAPSHOT_DELAY if self.in_force else INITIAL_SNAPSHOT_DELAY
        return self.in_force < self.newest and now - self.behind_since >= after

    def ready(self, now: float) -> bool:
        """Return True if the configuration in force is known to be the newest."""
        return self.why_not_ready(now) == ""

    def why_not_ready(self, now: float) -> str:
        """Return why the VM is not ready to serve as a sentence, or "" if it is ready."""
        if self.newest == 0:
            return "No configuration is known yet; apply one, or wait for the table service."
        if self.in_force < self.newest:
            return f"Version {self.in_force} is in force but {self.newest} is committed; fetching."
        if self._is_confirmed_by_table(now):
            return ""
        return self._why_not_confirmed_by_fleet(now)

    def confirmation_count(self, now: float) -> int:
        """Remove expired confirmations and return the number of VMs with a current one."""
        for name, at in list(self.confirmed_at.items()):
            if now - at > CONFIRMATION_TTL:
                del self.confirmed_at[name]
        return len(self.confirmed_at)

    def _is_confirmed_by_table(self, now: float) -> bool:
        return self.table_read_at is not None and now - self.table_read_at <= CONFIRMATION_TTL

    def _why_not_confirmed_by_fleet(self, now: float) -> str:
        if self.live * 2 <= self.expected:
            return (
                f"The table service is unavailable and only {self.live} of {self.expected} VMs are "
                "live, not a majority; check the network and the platform."
            )
        required = min(MIN_CONFIRMING_PEERS, self.live - 1)
        confirmed = self.confirmation_count(now)
        if confirmed < required:
            return (
                f"The table service is unavailable and {confirmed} VMs of {required} required "
                f"answered in the last {CONFIRMATION_TTL:.0f} s; check this VM's network."
            )
        return ""

    def _is_obtainable(self, version: int) -> bool:
        """Return True if a change is stored here or can be read from the table."""
        item = self.pending.get(version)
        return item is not None and (has_change(item) or not self.table_unavailable)

    def _record_newest(self, version: int, now: float) -> None:
        if version <= self.newest:
            return
        if self.in_force == self.newest:
            self.behind_since = now
        self.newest, self.newest_at = version, now


class SpreadTracker:
    """Tracks which VMs have confirmed that a version, or a newer one, is in force there."""

    __slots__ = ("version", "since", "confirmed")

    def __init__(self, version: int, now: float):
        self.version = version
        self.since = now
        self.confirmed: set[str] = set()

    def record_version(self, name: str, version: int) -> None:
        """Record the version in force on a VM."""
        if version >= self.version:
            self.confirmed.add(name)

    def count(self, live: Iterable[str]) -> tuple[int, int]:
        """Return (n, m): the version is in force on n of the m VMs in `live`."""
        names = set(live)
        return len(names & self.confirmed), len(names)

    def unconfirmed(self, live: Iterable[str]) -> list[str]:
        """Return the VMs in `live` that have not confirmed the version, sorted by name."""
        return sorted(set(live) - self.confirmed)
