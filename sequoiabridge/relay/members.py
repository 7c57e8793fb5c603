"""The daemons of the fleet: each writes where it is into a table, and greets those it finds there.

A daemon that starts again at the same address finds its row and writes none. A row is never
removed: VMs keep nothing, and one that is replaced is missed by nobody. Rows of VMs that are gone
cost a few datagrams.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random

import curio

from ..exceptions import BadEntry, StoreUnavailable
from ..foreign import as_address, as_number, as_table, as_text, parsed
from ..parts import Part
from ..store.rows import Write
from ..store.tables import Tables
from .decisions import DecisionLog
from .entry_errors import EntryErrorLog
from .messages import MAX_LINK_MBPS, Hello

TABLE = "daemons"

FIRST_RETRY_DELAY, MAX_RETRY_DELAY = 0.5, 5.0
"""Seconds before the store is asked again when it did not answer; doubles up to the longest. Calls
are served without it."""

DEFAULT_LINK_MBPS = 0.0
"""Bandwidth in Mbit/s that is assumed of a daemon that does not tell its own: others go first when
the store is to be followed."""

MAX_SHARING_PEERS = 8
"""Other daemons of the own data centre up to which each is told of each call and load. With more,
the datagrams would cost more processor time than the calls (32 peers: 40,000 a second in a data
centre of the users' grown sites), and each daemon asks often enough for its few calls."""


class Members(Part):
    """The other daemons that are known.

    Args:
        send_hello: Sends a hello to an address.
        first_start: The whole fleet starts for the first time, so that this daemon has no row yet.

    Attributes:
        joined: The others are known.
        failed: The store did not answer at first, so that they may not be known for long.
    """

    name = "members"

    def __init__(
        self,
        local: Hello,
        tables: Tables,
        decisions: DecisionLog,
        random: Random,
        send_hello: Callable[[Hello, str], None],
        first_start: bool,
    ):
        self.local = local
        self.tables = tables
        self.decisions = decisions
        self.random = random
        self.send_hello = send_hello
        self.entry_errors = EntryErrorLog(decisions)
        self.first_start = first_start
        self.joined = False
        self.join_failed = False
        self.peers: dict[str, Hello] = {}
        self.near_addresses: list[str] = []
        self.sharing_addresses: list[str] = []
        self.far_addresses: list[str] = []
        self.all_addresses: list[str] = []

    @property
    def count(self) -> int:
        """Return how many daemons there are, this one included."""
        return len(self.peers) + 1

    async def join(self) -> None:
        """Write where this daemon is, learn where the others are, and send_hello them."""
        delay = FIRST_RETRY_DELAY
        while True:
            try:
                await self._try_join()
                return
            except StoreUnavailable as error:
                self.join_failed = True
                self.decisions.event("join-failed", why=str(error))
            await curio.sleep(delay * self.random.uniform(0.5, 1.0))
            delay = min(MAX_RETRY_DELAY, 2 * delay)

    async def _try_join(self) -> None:
        row = self._own_row()
        found = None if self.first_start else await self.tables.rows(TABLE)
        # Writing comes before reading: of two daemons that begin together, one must see the other.
        if found is None or not any(r.key == row.key and r.value == row.value for r in found.rows):
            await self.tables.transact([], [row])
            found = await self.tables.rows(TABLE)
        for other in found.rows:
            self._add_row(other.key, other.value)
        for address in self.all_addresses:
            self.send_hello(self.local, address)
        self.joined = True
        self.decisions.event("joined", members=self.count, near=len(self.near_addresses))

    def _own_row(self) -> Write:
        me = self.local
        where = {"address": me.address, "data_centre": me.data_centre, "link": me.link}
        return Write(TABLE, "", me.vm, json.dumps(where).encode())

    def _add_row(self, vm: str, value: bytes | None) -> None:
        try:
            hello = hello_from_row(vm, value or b"")
        except BadEntry as error:
            self.entry_errors.record(TABLE, [BadEntry(str(error), vm)])
            return
        self.add_peer(hello)

    def add_peer(self, hello: Hello) -> None:
        """A daemon is there, as its row or itself says."""
        if hello.vm == self.local.vm:
            return
        known = self.peers.get(hello.vm)
        if known is not None and known.address == hello.address:
            return
        self.peers[hello.vm] = hello
        self.all_addresses = [other.address for other in self.peers.values()]
        near = [o for o in self.peers.values() if o.data_centre == self.local.data_centre]
        self.near_addresses = [other.address for other in near]
        self.sharing_addresses = self.near_addresses if len(near) <= MAX_SHARING_PEERS else []
        self.far_addresses = [o.address for o in self.peers.values() if o not in near]

    def dump(self) -> dict:
        """Describe the members for the state dump."""
        return {vm: other.address for vm, other in self.peers.items()}


def hello_from_row(vm: str, value: bytes) -> Hello:
    """Return what a row of the daemons' table says.

    Raises:
        BadEntry: It names no daemon that can be told anything.
    """
    where = as_table(parsed(value), "the row")
    return Hello(
        as_text(vm, "its key"),
        as_address(where.get("address"), "address"),
        as_text(where.get("data_centre"), "data_centre"),
        as_number(where.get("link", DEFAULT_LINK_MBPS), "link", 0.0, MAX_LINK_MBPS),
    )
