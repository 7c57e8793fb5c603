"""Whether this VM may know that its configuration is the newest, and how far a version has come.

Pure: versions read from the table, versions heard from other VMs and the size of the fleet are
events. See docs/design/currency.md for what is proved and which gap remains.
"""

from collections.abc import Iterable

from .base import ConfigurationItem
from .packing import has_change

CONFIRMATION_TTL = 6.0
"""Seconds after which a confirmation no longer counts."""
MIN_CONFIRMING_PEERS = 3
"""Different VMs that must have been heard lately, so that a cut-off VM notices."""
FETCH_DELAY = 0.3
"""Seconds to wait for a change that is on its way before asking for it."""
INITIAL_SNAPSHOT_DELAY = 3.0
"""Seconds after which a VM without any configuration asks another for all of it."""
SNAPSHOT_DELAY = 15.0
"""The same for one that is behind: changes cost less, and pieces would hold them up."""
FETCH_INTERVAL = 0.5
"""Seconds between two requests for the same changes."""


class VersionTracker:
    """Decides if the configuration in force is known to be the newest.

    Attributes:
        in_force: Version in force here, 0 if none is.
        newest: Newest version known to be committed, 0 if none is.
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
        """The table was read and names `version` as the newest; `now` is when the read began."""
        self.table_read_at = now
        self.table_unavailable = False
        self._record_newest(version, now)

    def record_table_failure(self) -> None:
        """The table could not be read: large changes have to come from other VMs."""
        self.table_unavailable = True

    def record_peer_version(self, version: int, now: float) -> None:
        """Another VM says, in a message that is no replay, that `version` is in force there."""
        self._record_newest(version, now)

    def record_confirmation(self, name: str, at: float) -> None:
        """The VM `name` answered a ping that was sent at `at`, with its version.

        Only such a round trip proves anything about the present: after a pause of this process,
        old messages still come in.
        """
        self.confirmed_at[name] = max(at, self.confirmed_at.get(name, at))

    def set_fleet_size(self, live: int, expected: int) -> None:
        """Set how many VMs are alive and how many there should be, this one included in both."""
        self.live, self.expected = live, expected

    def discard_confirmations(self) -> None:
        """This process was paused: what it knew before proves nothing now."""
        self.table_read_at = None
        self.confirmed_at.clear()

    def add_change(self, item: ConfigurationItem, now: float) -> bool:
        """Hold a change until its turn; return False if it is old or held already."""
        self._record_newest(item.version, now)
        pending = self.pending.get(item.version)
        known = pending is not None and (has_change(pending) or not has_change(item))
        if item.version <= self.in_force or known:
            return False
        self.pending[item.version] = item
        return True

    def next_change(self) -> ConfigurationItem | None:
        """Return the change that follows the version in force, if it is held.

        One with its version only is too large to be spread: read it from the table.
        """
        return self.pending.get(self.in_force + 1)

    def record_applied(self, version: int, now: float) -> bool:
        """Note that `version` is in force; return False, changing nothing, if it is older."""
        if version < self.in_force:
            return False
        self.in_force = version
        self._record_newest(version, now)
        self.pending = {v: item for v, item in self.pending.items() if v > version}
        return True

    # Answers.

    def next_fetch(self, now: float) -> range | None:
        """Return the versions to ask another VM for now, or None; at most one answer in a while."""
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
        """Return True if changes alone have not brought the newest version for some time."""
        after = SNAPSHOT_DELAY if self.in_force else INITIAL_SNAPSHOT_DELAY
        return self.in_force < self.newest and now - self.behind_since >= after

    def ready(self, now: float) -> bool:
        """Return True if the configuration in force is known to be the newest."""
        return self.why_not_ready(now) == ""

    def why_not_ready(self, now: float) -> str:
        """Return in one sentence why the VM may not serve, or "" if it may."""
        if self.newest == 0:
            return "No configuration is known yet; apply one, or wait for the table service."
        if self.in_force < self.newest:
            return f"Version {self.in_force} is in force but {self.newest} is accepted; fetching."
        if self._is_confirmed_by_table(now):
            return ""
        return self._why_not_confirmed_by_fleet(now)

    def confirmation_count(self, now: float) -> int:
        """Return how many VMs were heard lately."""
        for name, at in list(self.confirmed_at.items()):
            if now - at > CONFIRMATION_TTL:
                del self.confirmed_at[name]
        return len(self.confirmed_at)

    def _is_confirmed_by_table(self, now: float) -> bool:
        return self.table_read_at is not None and now - self.table_read_at <= CONFIRMATION_TTL

    def _why_not_confirmed_by_fleet(self, now: float) -> str:
        if self.live * 2 <= self.expected:
            return (
                f"The table service is silent and only {self.live} of {self.expected} VMs are "
                "heard, not a majority; check the network and the platform."
            )
        required = min(MIN_CONFIRMING_PEERS, self.live - 1)
        confirmed = self.confirmation_count(now)
        if confirmed < required:
            return (
                f"The table service is silent and {confirmed} VMs of {required} wanted were heard in "
                f"{CONFIRMATION_TTL:.0f} s; check this VM's network."
            )
        return ""

    def _is_obtainable(self, version: int) -> bool:
        """Return True if a change is held, or is to be read from the table."""
        item = self.pending.get(version)
        return item is not None and (has_change(item) or not self.table_unavailable)

    def _record_newest(self, version: int, now: float) -> None:
        if version <= self.newest:
            return
        if self.in_force == self.newest:
            self.behind_since = now
        self.newest, self.newest_at = version, now


class SpreadTracker:
    """Counts the VMs that have said that a version, or a newer one, is in force there."""

    __slots__ = ("version", "since", "confirmed")

    def __init__(self, version: int, now: float):
        self.version = version
        self.since = now
        self.confirmed: set[str] = set()

    def record_version(self, name: str, version: int) -> None:
        """Note the version that is in force at a VM."""
        if version >= self.version:
            self.confirmed.add(name)

    def count(self, live: Iterable[str]) -> tuple[int, int]:
        """Return (n, m): the version is in force on n of the m VMs in `live`."""
        names = set(live)
        return len(names & self.confirmed), len(names)

    def unconfirmed(self, live: Iterable[str]) -> list[str]:
        """Return the live VMs that have not confirmed, in order of name."""
        return sorted(set(live) - self.confirmed)
