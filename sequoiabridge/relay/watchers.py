"""Decides which daemons poll the store, and keeps the others up to date from these.

Calls to the store are charged, so that only a few daemons of each data centre, the watchers, poll
it. Their heartbeats tell all daemons the version of each feed that they have. A daemon with an
older version reads the missing rows from the sender. A daemon without enough live watchers becomes
one itself.

The highest version in any heartbeat counts, so that a watcher that has lost the store unnoticed
does no harm while another one has access. One watcher, the sentinel, polls with a short timeout:
its answers confirm the rows of all (see `freshness`), and when such a poll fails, heartbeats
without versions make all watchers send their polls again.
"""

from __future__ import annotations

import curio

from ..exceptions import StoreUnavailable
from ..timers import Clock
from .channel import Channel
from .decisions import DecisionLog
from .follower import LONG_POLL_TIMEOUT, Follower
from .freshness import Freshness
from .heartbeats import Heartbeats, digest, rank_of, with_store_access
from .hello import Hello
from .members import Members
from .messages import Heartbeat
from .peer_feeds import PeerReader

WATCHERS_PER_DATA_CENTRE = 2
"""Number of daemons of each data centre that poll the store. One of them may be cut off, and so may
a whole data centre, since the others' are heard everywhere."""

CHECK_INTERVAL = 0.3
"""Seconds between two checks of the live watchers. A newer version in a heartbeat triggers a check
at once. Waking up 150 times a second for nothing cost each of 97 daemons more processor time than
its calls."""

START_CHECK_INTERVAL, START_PHASE = 0.05, 2.5
"""Seconds between two checks during a daemon's start, and the seconds that the start lasts."""

TAKEOVER_DELAY = 0.4
"""Seconds for which there must be too few live watchers before this daemon becomes one. After a
stall of this daemon, their heartbeats may still be waiting in its socket. Without the delay, 62 of
97 daemons became watchers at some time in the first 12 s of a fleet, with 399 store calls in
all."""

PEER_READ_DELAY = 0.4
"""Seconds that a watcher waits for a newer version from the store before it asks a peer for it."""

REMOTE_HEARTBEAT_RATIO = 4
"""Number of heartbeats of which one is sent to the other data centres, where traffic is charged.
All of them would be 2 MB in 42 s and cost 0.015 of the worth of a quiet day on 13 VMs (one run)."""

MAX_WATCHERS_WITHOUT_STORE = 4
"""Maximum number of daemons of each data centre that retry while the store answers no watcher. All
daemons, 97 to 110, made over 1,000 paid calls in 8 s; with two, both may be cut off from a store
that answers others."""

SENTINEL_FEED = "configuration"
"""Feed that the sentinel polls with a short timeout. The store's version in the answer confirms the
other feed too, unless something else in the store has changed."""

VERSION_REFRESH_INTERVAL = 10.0
"""Seconds after which a daemon asks a peer for a feed's newer version though nothing has changed.
The store keeps 20 s of history, and a daemon that becomes a watcher goes on from its version."""

OVERDUE_MARGIN = 2.0
"""Seconds beyond its timeout after which a poll counts as lost."""

FIRST_START_WAIT, RESTART_WAIT = 2.0, 0.35
"""Seconds for which a daemon that is no default watcher waits for the first heartbeat before it
reads the store itself: when the whole fleet starts for the first time, and otherwise. Nobody calls
when the whole fleet starts for the first time; after a restart calls are waiting, but a watcher is
heard within the time between two heartbeats."""


class Watchers:
    """Makes this daemon a watcher of the store when needed, and reads from peers otherwise.

    Args:
        followers: Followers of the feeds, by the feed's name.
        reader: Reads a feed's rows from a peer.
        freshness: Knows when the store confirmed the rows.
        first_start: The whole fleet starts for the first time.

    Attributes:
        watching: This daemon is a watcher.
        store_unavailable_at: When the store last became unavailable, here or for another watcher.
        behind_since: When a peer was first seen to have a newer version; None while none has.
        shortage_since: When the number of live watchers fell too low; None while it is sufficient.
    """

    def __init__(
        self,
        members: Members,
        channel: Channel,
        followers: dict[str, Follower],
        reader: PeerReader,
        decisions: DecisionLog,
        clock: Clock,
        first_start: bool,
        freshness: Freshness,
    ):
        self.members = members
        self.channel = channel
        self.followers = followers
        self.reader = reader
        self.decisions = decisions
        self.clock = clock
        self.started = clock.now()
        self.start_wait = FIRST_START_WAIT if first_start else RESTART_WAIT
        self.freshness = freshness
        freshness.read_order = self.read_order
        freshness.on_confirmed = self.forward_confirmation
        freshness.on_read = self.announce_read
        self.heartbeats = Heartbeats(members, clock)
        self.behind_since: float | None = None
        self.shortage_since: float | None = None
        self.watching = False
        self.store_unavailable_at = float("-inf")
        self.heartbeats_sent = 0
        self.has_announced = False
        self.wake = curio.Event()

    @property
    def is_current(self) -> bool:
        """Return whether updates reach this daemon, from the store or from live watchers."""
        following = all(f.active and not f.store_unavailable for f in self.followers.values())
        return following or bool(self.heartbeats.connected())

    async def run(self) -> None:
        """Check the watchers, and read newer versions from peers, until cancelled."""
        while True:
            await self._decide_role()
            await self._repoll_stale()
            self._announce()
            await self._catch_up()
            starting = self.clock.now() - self.started < START_PHASE
            async with curio.ignore_after(START_CHECK_INTERVAL if starting else CHECK_INTERVAL):
                await self.wake.wait()
            self.wake.clear()

    async def wake_if_behind(self) -> None:
        """Start a check if a peer has a newer version; called after each batch of datagrams."""
        if self._choose_source() is not None:
            await self.wake.set()

    def send_heartbeat(self) -> None:
        """Send the versions of the feeds to the peers if this daemon is a watcher.

        The heartbeat has no versions while the store is unavailable. Peers of the same data centre
        get each heartbeat; the others get one in `REMOTE_HEARTBEAT_RATIO`, from the first watcher
        only.
        """
        heartbeat = self._own_heartbeat()
        if heartbeat is None:
            return
        self.channel.send(heartbeat, self.members.local_addresses)
        self.heartbeats_sent += 1
        if (
            self.heartbeats_sent % REMOTE_HEARTBEAT_RATIO == 0
            and not self.heartbeats.count_preferred(self.heartbeats.live())
        ):
            self.channel.send(heartbeat, self.members.remote_addresses)

    def forward_confirmation(self) -> None:
        """Tell the first watchers of the other data centres at once what the store confirmed."""
        heartbeat = self._own_heartbeat() if self._is_sentinel() else None
        if heartbeat is None or not heartbeat.versions:
            return
        peers = self.members.peers
        remote = [peers[h.vm].address for h in self.heartbeats.remote() if h.vm in peers]
        self.channel.send(heartbeat, remote)

    def announce_read(self) -> None:
        """Tell the data centre at once what a read of the store confirmed, watcher or not."""
        if all(follower.version is not None for follower in self.followers.values()):
            self.channel.send(self._build_heartbeat(), self.members.local_addresses)

    def read_order(self) -> int:
        """Return how early this daemon reads the store itself (see `LagBound.max_age_at`)."""
        if not self.watching:
            return 3
        if self._is_sentinel():
            return 0
        return 2 if self.heartbeats.count_preferred(self.heartbeats.live()) else 1

    def _announce(self) -> None:
        """Send a heartbeat at once after the first read of the store; peers may wait for it."""
        heartbeat = None if self.has_announced else self._own_heartbeat()
        if heartbeat is not None and heartbeat.versions:
            self.has_announced = True
            self.send_heartbeat()

    def handle_hello(self, hello: Hello) -> None:
        """Send a heartbeat to a daemon that has just started."""
        heartbeat = self._own_heartbeat()
        if heartbeat is not None and heartbeat.versions:
            self.channel.send(heartbeat, [hello.address])

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Store a peer's heartbeat; note when it reports that the store has become unavailable."""
        before = self.heartbeats.record(heartbeat)
        self._adopt_confirmations(heartbeat)
        if before is not None and before.versions and not heartbeat.versions:
            self.note_store_unavailable()

    def note_store_unavailable(self) -> None:
        """Note that the store is unavailable, so that polls sent before now are sent again."""
        self.store_unavailable_at = self.clock.now()

    def _own_heartbeat(self) -> Heartbeat | None:
        """Return this daemon's heartbeat; None if it is no watcher or has not read all feeds."""
        followers = self.followers.values()
        if not all(f.active for f in followers):
            return None
        if any(follower.store_unavailable for follower in followers):
            own = self.members.own_hello
            return Heartbeat(own.vm, own.data_centre, self.reader.own_address, {}, own.link)
        if any(follower.version is None for follower in followers):
            return None
        return self._build_heartbeat()

    def _build_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with what this daemon knows; all feeds have been read."""
        own, feeds = self.members.own_hello, self.followers.items()
        return Heartbeat(
            own.vm,
            own.data_centre,
            self.reader.own_address,
            {name: follower.version for name, follower in feeds},
            own.link,
            {name: follower.changed_version for name, follower in feeds},
            self.freshness.ages(),
        )

    def _adopt_confirmations(self, heartbeat: Heartbeat) -> None:
        received_at = self.clock.since_boot() - self.heartbeats.age(heartbeat)
        self.freshness.adopt(heartbeat, received_at)

    async def _decide_role(self) -> None:
        """Become a watcher if too few live ones rank before this daemon; stop being one if not."""
        waiting = self.clock.now() - self.started < self.start_wait
        live = self.heartbeats.live()
        connected = with_store_access(live)
        limit = WATCHERS_PER_DATA_CENTRE if connected else MAX_WATCHERS_WITHOUT_STORE
        needed = (
            self.heartbeats.count_preferred(connected) < WATCHERS_PER_DATA_CENTRE
            and self.heartbeats.count_preferred(live) < limit
        )
        default_watcher = self._is_default_watcher()
        if needed and waiting and not self.members.join_failed and not default_watcher:
            return
        if not needed:
            self.shortage_since = None
        elif self.shortage_since is None:
            self.shortage_since = self.clock.now()
            # Watchers that missed this daemon's hello send it no heartbeats.
            self.channel.send(self.members.own_hello, self.members.local_addresses)
        for follower in self.followers.values():
            follower.slow_retries = self.members.joined and not default_watcher
        shortage_duration = (
            0.0 if self.shortage_since is None else self.clock.now() - self.shortage_since
        )
        if (
            needed
            and shortage_duration < TAKEOVER_DELAY
            and not default_watcher
            and not self._has_unread_feed()
        ):
            return
        await self._set_watching(needed)

    def _is_default_watcher(self) -> bool:
        """Return whether this daemon is a watcher as long as no daemon has failed."""
        if not self.members.joined:
            return False
        own = self.members.own_hello
        local = [h for h in self.members.peers.values() if h.data_centre == own.data_centre]
        return sum(rank_of(other) < rank_of(own) for other in local) < WATCHERS_PER_DATA_CENTRE

    async def _set_watching(self, needed: bool) -> None:
        if needed == self.watching:
            return
        self.watching = needed
        self.decisions.event("watches-store" if needed else "leaves-store-to-others")
        for follower in self.followers.values():
            await follower.set_active(needed)

    def _is_sentinel(self) -> bool:
        """Return whether this daemon is the first watcher of the first data centre."""
        live = self.heartbeats.live()
        if not self.watching or self.heartbeats.count_preferred(live):
            return False
        # Only the first watcher of another data centre sends heartbeats here.
        rank = rank_of(self.members.own_hello)
        return all(rank < rank_of(heartbeat) for heartbeat in self.heartbeats.remote())

    async def _repoll_stale(self) -> None:
        """Set each poll's timeout; repeat polls that are overdue or older than an outage of the
        store."""
        sentinel = self._is_sentinel()
        now = self.clock.now()
        for name, follower in self.followers.items():
            short = sentinel and name == SENTINEL_FEED
            confirm_interval = self.freshness.bound.confirm_interval
            follower.poll_timeout = confirm_interval if short else LONG_POLL_TIMEOUT
            poll_sent_at = follower.poll_sent_at
            if follower.store_unavailable or poll_sent_at is None:
                continue
            overdue = now - poll_sent_at > follower.poll_timeout + OVERDUE_MARGIN
            if poll_sent_at <= self.store_unavailable_at or overdue:
                await follower.repoll()

    def _has_unread_feed(self) -> bool:
        return any(follower.version is None for follower in self.followers.values())

    async def _catch_up(self) -> None:
        """Read a newer version from a peer, after a delay if this daemon is a watcher."""
        source = self._choose_source()
        if source is None:
            self.behind_since = None
            return
        now = self.clock.now()
        if self.behind_since is None:
            self.behind_since = now
        read_delay = PEER_READ_DELAY if self.watching else 0.0
        if not self._has_unread_feed() and now - self.behind_since < read_delay:
            return
        await self._read_from(source)

    def _choose_source(self) -> Heartbeat | None:
        """Return the heartbeat of a peer with a newer version, or None; prefer peers of this data
        centre."""
        own = self.members.own_hello
        ahead = [
            heartbeat for heartbeat in self.heartbeats.connected() if self._is_newer(heartbeat)
        ]
        # The order differs between daemons, which spreads the reads over the sources.
        return min(
            ahead,
            key=lambda heartbeat: (
                heartbeat.data_centre != own.data_centre,
                digest(own.vm + heartbeat.vm),
            ),
            default=None,
        )

    def _is_newer(self, heartbeat: Heartbeat) -> bool:
        return any(
            self._has_newer(heartbeat, name, follower) for name, follower in self.followers.items()
        )

    def _has_newer(self, heartbeat: Heartbeat, name: str, follower: Follower) -> bool:
        """Return whether a peer knows a change of a feed, or a version that is much newer."""
        known = known_version(follower)
        if heartbeat.changed.get(name, 0) > known:
            return True
        is_old = self.clock.since_boot() - follower.updated_at > VERSION_REFRESH_INTERVAL
        return is_old and heartbeat.versions.get(name, 0) > known

    async def _read_from(self, source: Heartbeat) -> None:
        try:
            for name, follower in self.followers.items():
                if self._has_newer(source, name, follower):
                    follower.apply(await self.reader.read(source.address, name, follower.version))
            self._adopt_confirmations(source)
        except StoreUnavailable as error:
            self.heartbeats.forget(source.vm)
            self.decisions.event("peer-unread", peer=source.vm, why=str(error))


def known_version(follower: Follower) -> int:
    """Return the version that a follower has; -1 if none."""
    return -1 if follower.version is None else follower.version
