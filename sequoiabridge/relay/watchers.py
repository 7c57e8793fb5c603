"""Which daemons follow the store, and how the others keep up without asking it.

Each question to the store is paid for. In each data centre a few daemons follow it; they tell all
daemons, several times a second and at each change, which version they know. A daemon that knows an
older one reads the rest from them. One that hears from too few of them follows the store itself.

The newest version that is heard from anyone counts, so a watcher that is cut off from the store
without knowing it does no harm while another one is not. For the case that all of them are, a few
watchers, the sentinels, ask the store often; when it does not answer them they say so, and all
watchers ask anew.
"""

from __future__ import annotations

from hashlib import blake2b

import curio

from ..exceptions import StoreUnavailable
from ..store.rows import Changes
from ..timers import Clock
from .channel import Channel
from .decisions import DecisionLog
from .feeds import LONG_POLL_TIMEOUT, SENTINEL_POLL_TIMEOUT, Follower
from .members import Members
from .messages import Heartbeat, Hello
from .peer_feeds import PeerReader

WATCHERS_EACH = 2
"""Daemons of each data centre that follow the store; one may be cut off, and so may a whole data
centre, since all of them are heard everywhere."""

HEARTBEAT_INTERVAL = 0.3
"""Seconds between two heartbeats of a watcher."""

LOOK_EVERY = 0.3
"""Seconds between two looks at who is heard; news wakes a daemon at once. Waking up 150 times a
second for nothing cost each of 97 daemons more processor time than its calls."""

START_LOOK, STARTING = 0.05, 2.5
"""The same in the first seconds of a daemon, when it waits for the first heartbeat."""

HEARTBEAT_TIMEOUT = 1.5
"""Seconds without a heartbeat after which a watcher counts as failed."""

SURE = 0.4
"""Seconds for which too few watchers must be missed before this daemon follows the store: a daemon
that has been held up has their heartbeats still unread."""

BEHIND = 0.4
"""Seconds for which a version may be known only from others before it is read from them: a watcher
mostly has it from the store within that time."""

FAR_EACH = 4
"""Beacons of which one goes to other data centres: all of them would be 2 MB in 42 s and cost 0.015
of the users' worth of a quiet day on 13 VMs, in one run."""

FAR_LOST = 4.0
"""The time after which those are missed; as many in a row as near ones."""

MOST_TRYING = 4
"""Daemons of each data centre that ask a store which answers nobody. All of them, 97 to 110, made
over 1,000 paid calls in 8 s; with two, both may be cut off from a store that answers others."""

SENTINEL_FEED = "configuration"
"""The feed by which a silent store is noticed. One is enough, since the store forgets the questions
of all; asking for both took 134 calls of a quiet day of 18 VMs more, 0.01 of its worth."""

SENTINELS = 2
"""Data centres whose first watcher notices that; one of them may be cut off itself."""

OVERDUE = 2.0
"""Seconds beyond its wait after which a question counts as lost. The client's own limit, 0.6 s, is
met before; only a question that was asked when this daemon was no sentinel yet waits so long."""

FIRST_START_WAIT, RESTART_WAIT = 2.0, 0.35
"""Seconds for which a daemon that need not follow the store waits for the first heartbeat before it
reads the store itself. Nobody calls when the whole fleet starts for the first time; after a restart
calls are waiting, but a watcher is heard within the time between two heartbeats."""


class Watchers:
    """Decides whether this daemon follows the store, and keeps it up to date if not.

    Args:
        followers: The feeds that are followed, by name.
        reader: Reads a feed's rows from another daemon.
        first_start: The whole fleet starts for the first time.

    Attributes:
        watching: This daemon follows the store.
        lost_at: When the store was last found, here or by another watcher, not to answer.
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
    ):
        self.members = members
        self.channel = channel
        self.followers = followers
        self.reader = reader
        self.decisions = decisions
        self.clock = clock
        self.started = clock.now()
        self.wait = FIRST_START_WAIT if first_start else RESTART_WAIT
        self.latest_heartbeats: dict[str, tuple[float, Heartbeat]] = {}
        self.behind_since: float | None = None
        self.missed_since: float | None = None
        self.watching = False
        self.lost_at = float("-inf")
        self.heartbeats_sent = 0
        self.announced = False
        self.news = curio.Event()

    @property
    def is_current(self) -> bool:
        """Return whether news would be heard, from the store or from those who follow it."""
        following = all(f.active and not f.store_unavailable for f in self.followers.values())
        return following or bool(self._fresh())

    async def run(self) -> None:
        """Decide anew all the time, and catch up with others, until cancelled."""
        while True:
            await self._decide()
            await self._verify()
            self._announce()
            await self._catch_up()
            starting = self.clock.now() - self.started < STARTING
            async with curio.ignore_after(START_LOOK if starting else LOOK_EVERY):
                await self.news.wait()
            self.news.clear()

    async def wake_if_behind(self) -> None:
        """Look at once if what was heard is news; called after datagrams were taken in."""
        if self._newest() is not None:
            await self.news.set()

    def send_heartbeat(self) -> None:
        """Tell others what is known here, if it comes from the store; the timers call it.

        While the store does not answer, they hear that.

        Those of the own data centre hear it each time. The others hear it from the first watcher
        only and less often, since bytes between data centres cost.
        """
        made = self._own_heartbeat()
        if made is None:
            return
        self.channel.send(made, self.members.near_addresses)
        self.heartbeats_sent += 1
        if self.heartbeats_sent % FAR_EACH == 0 and not self._before_me(self._lately()):
            self.channel.send(made, self.members.far_addresses)

    def _announce(self) -> None:
        """Tell others at once when the store has been read for the first time; they may wait."""
        made = None if self.announced else self._own_heartbeat()
        if made is not None and made.versions:
            self.announced = True
            self.send_heartbeat()

    def handle_hello(self, hello: Hello) -> None:
        """A daemon has just come: tell it at once what is known here."""
        made = self._own_heartbeat()
        if made is not None and made.versions:
            self.channel.send(made, [hello.address])

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Another daemon says which versions it knows, or that the store does not answer it."""
        _, before = self.latest_heartbeats.get(heartbeat.vm, (0.0, heartbeat))
        self.latest_heartbeats[heartbeat.vm] = (self.clock.now(), heartbeat)
        if before.versions and not heartbeat.versions:
            self.note_store_unavailable()

    def note_store_unavailable(self) -> None:
        """The store was found not to answer: questions that wait in it are in doubt."""
        self.lost_at = self.clock.now()

    def _own_heartbeat(self) -> Heartbeat | None:
        followers = self.followers
        if not all(follower.active for follower in followers.values()):
            return None
        versions = {}
        if not any(follower.store_unavailable for follower in followers.values()):
            versions = {name: follower.version for name, follower in followers.items()}
        if None in versions.values():
            return None
        me = self.members.local
        return Heartbeat(me.vm, me.data_centre, self.reader.own_address, versions, me.link)

    def _fresh(self) -> list[Heartbeat]:
        """Return what was heard lately from daemons that the store answers."""
        return answered(self._lately())

    def _lately(self) -> list[Heartbeat]:
        """Return what was heard lately from daemons that follow the store, or try to."""
        now, here = self.clock.now(), self.members.local.data_centre
        return [
            heartbeat
            for at, heartbeat in self.latest_heartbeats.values()
            if now - at <= (HEARTBEAT_TIMEOUT if heartbeat.data_centre == here else FAR_LOST)
        ]

    async def _decide(self) -> None:
        waiting = self.clock.now() - self.started < self.wait
        lately = self._lately()
        fresh = answered(lately)
        enough = WATCHERS_EACH if fresh else MOST_TRYING
        needed = self._before_me(fresh) < WATCHERS_EACH and self._before_me(lately) < enough
        foremost = self._foremost()
        if needed and waiting and not self.members.join_failed and not foremost:
            return
        if not needed:
            self.missed_since = None
        elif self.missed_since is None:
            self.missed_since = self.clock.now()
            # A watcher that never got this daemon's greeting does not tell it anything.
            self.channel.send(self.members.local, self.members.near_addresses)
        for follower in self.followers.values():
            follower.slow_retries = self.members.joined and not foremost
        missed_for = 0.0 if self.missed_since is None else self.clock.now() - self.missed_since
        if needed and missed_for < SURE and not foremost and not self._unread():
            return
        await self._watch(needed)

    def _before_me(self, heartbeats: list[Heartbeat]) -> int:
        """Return how many of those who sent heartbeats are here and come before this daemon."""
        me = self.members.local
        rank = rank_of(me)
        return sum(b.data_centre == me.data_centre and rank_of(b) < rank for b in heartbeats)

    def _foremost(self) -> bool:
        """Return whether this daemon is among those that follow the store when all are well."""
        if not self.members.joined:
            return False
        me = self.members.local
        near = [h for h in self.members.peers.values() if h.data_centre == me.data_centre]
        return sum(rank_of(other) < rank_of(me) for other in near) < WATCHERS_EACH

    async def _watch(self, needed: bool) -> None:
        if needed == self.watching:
            return
        self.watching = needed
        self.decisions.event("watches-store" if needed else "leaves-store-to-others")
        for follower in self.followers.values():
            await follower.set_active(needed)

    def _is_sentinel(self) -> bool:
        """Return whether this daemon is among those that notice when the store falls silent."""
        lately = self._lately()
        if not self.watching or self._before_me(lately):
            return False
        me = self.members.local
        # Other data centres are told by their first watcher only.
        far = [b for b in lately if b.data_centre != me.data_centre]
        before = {b.data_centre for b in far if rank_of(b) < rank_of(me)}
        return len(before) < SENTINELS

    async def _verify(self) -> None:
        """Ask anew what may wait in the store in vain: the store has been away since, or the
        question waits too long for a sentinel."""
        sentinel = self._is_sentinel()
        now = self.clock.now()
        for name, follower in self.followers.items():
            short = sentinel and name == SENTINEL_FEED
            follower.poll_timeout = SENTINEL_POLL_TIMEOUT if short else LONG_POLL_TIMEOUT
            poll_sent_at = follower.poll_sent_at
            if follower.store_unavailable or poll_sent_at is None:
                continue
            overdue = now - poll_sent_at > follower.poll_timeout + OVERDUE
            if poll_sent_at <= self.lost_at or overdue:
                await follower.repoll()

    def _unread(self) -> bool:
        return any(follower.version is None for follower in self.followers.values())

    async def _catch_up(self) -> None:
        """Read from another daemon what this one has not known for too long."""
        source = self._newest()
        if source is None:
            self.behind_since = None
            return
        now = self.clock.now()
        if self.behind_since is None:
            self.behind_since = now
        patience = BEHIND if self.watching else 0.0
        if not self._unread() and now - self.behind_since < patience:
            return
        await self._read(source)

    def _newest(self) -> Heartbeat | None:
        """Return a heartbeat that knows more than this daemon; near ones first."""
        me = self.members.local
        ahead = [heartbeat for heartbeat in self._fresh() if self._ahead(heartbeat)]
        # Each daemon has its own order, so that not all of them read from the same one.
        return min(
            ahead,
            key=lambda heartbeat: (
                heartbeat.data_centre != me.data_centre,
                digest(me.vm + heartbeat.vm),
            ),
            default=None,
        )

    def _ahead(self, heartbeat: Heartbeat) -> bool:
        return any(
            heartbeat.versions.get(name, 0) > known(follower)
            for name, follower in self.followers.items()
        )

    async def _read(self, source: Heartbeat) -> None:
        try:
            for name, follower in self.followers.items():
                if source.versions.get(name, 0) <= known(follower):
                    continue
                found = await self.reader.read(source.address, name, follower.version)
                if isinstance(found, Changes):
                    follower.apply_changes(found)
                else:
                    follower.apply_snapshot(found)
        except StoreUnavailable as error:
            self.latest_heartbeats.pop(source.vm, None)
            self.decisions.event("peer-unread", peer=source.vm, why=str(error))


def answered(heartbeats: list[Heartbeat]) -> list[Heartbeat]:
    """Return those of daemons that the store answers."""
    return [heartbeat for heartbeat in heartbeats if heartbeat.versions]


def known(follower: Follower) -> int:
    """Return the version that a follower knows; less than any if none."""
    return -1 if follower.version is None else follower.version


def rank_of(vm: Hello | Heartbeat) -> tuple[float, bytes]:
    """Return a VM's place in the order in which the daemons of a data centre follow the store.

    Those with the widest links come first: on links of 5 Mbit/s, handing out a configuration of
    1,680 routes to 16 others took longer than the 2.5 s within which it must be in force.
    """
    return -vm.link, digest(vm.vm)


def digest(text: str) -> bytes:
    """Return a short hash, the same on all VMs."""
    return blake2b(text.encode(), digest_size=8).digest()
