"""Keeps the list of the fleet's daemons, which find each other in a table of the store.

Each daemon writes its address into the table and sends a hello to the others. A daemon that starts
again at the same address finds its row and writes none. Each writes its row again now and then;
those whose row stays unchanged have been removed, and count no longer as members.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random

import curio

from ..component import Component
from ..exceptions import BadEntry, StoreUnavailable
from ..store.rows import Write
from ..store.tables import Tables
from ..untrusted_json import as_address, as_number, as_object, as_text, parse_json
from .decisions import DecisionLog
from .entry_errors import EntryErrorLog
from .hello import Hello
from .message_codec import MAX_LINK_MBPS

TABLE = "daemons"

FIRST_RETRY_DELAY, MAX_RETRY_DELAY = 0.5, 5.0
"""Seconds before a failed attempt to join is retried; doubles up to the maximum. Calls are served
meanwhile."""

DEFAULT_LINK_MBPS = 0.0
"""Bandwidth that is assumed of a daemon that does not report its own; it comes last as a
watcher."""

REFRESH_INTERVAL = 600.0
"""Maximum seconds between two times at which a daemon writes its row and reads the others."""

MAX_UNCHANGED_READS = 6
"""Number of reads in a row after which the VM of an unchanged row counts as removed. Reads that the
store did not answer do not count, since nobody can write then."""

MAX_SHARING_PEERS = 8
"""Maximum number of peers in this data centre with which each call and load report is shared. With
more, the datagrams would take more processor time than the calls. With 32 peers there were 40,000 a
second in one data centre."""


class Members(Component):
    """The peers that this daemon knows.

    Args:
        own_hello: Hello of this daemon.
        send_hello: Sends a hello to an address.
        first_start: The whole fleet starts for the first time, so that this daemon has no row yet.

    Attributes:
        joined: The table has been read, and the peers are known.
        join_failed: An attempt to join has failed, so that peers may be unknown for some time.
        peers: The other daemons, by VM.
        local_addresses: Addresses of the peers in this data centre.
        remote_addresses: Addresses of the other peers.
        sharing_addresses: Addresses of the peers that get each call and load report.
        row_versions: Version of each VM's row at the latest read.
        unchanged_reads: Number of latest reads at which a VM's row had not changed.
    """

    name = "members"

    def __init__(
        self,
        own_hello: Hello,
        tables: Tables,
        decisions: DecisionLog,
        random: Random,
        send_hello: Callable[[Hello, str], None],
        first_start: bool,
    ):
        self.own_hello = own_hello
        self.tables = tables
        self.decisions = decisions
        self.random = random
        self.send_hello = send_hello
        self.entry_errors = EntryErrorLog(decisions)
        self.first_start = first_start
        self.joined = False
        self.join_failed = False
        self.peers: dict[str, Hello] = {}
        self.local_addresses: list[str] = []
        self.sharing_addresses: list[str] = []
        self.remote_addresses: list[str] = []
        self.all_addresses: list[str] = []
        self.row_versions: dict[str, int] = {}
        self.unchanged_reads: dict[str, int] = {}

    @property
    def count(self) -> int:
        """Return the number of daemons, including this one."""
        return len(self.peers) + 1

    async def join(self) -> None:
        """Write this daemon's row, read the others and send them a hello; retry until it
        succeeds."""
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
        rows = None if self.first_start else await self.tables.rows(TABLE)
        # Write before reading: of two daemons that start together, one must see the other.
        if rows is None or not any(r.key == row.key and r.value == row.value for r in rows.rows):
            await self.tables.transact([], [row])
            rows = await self.tables.rows(TABLE)
        for other in rows.rows:
            self._add_row(other.key, other.value)
        for address in self.all_addresses:
            self.send_hello(self.own_hello, address)
        self.joined = True
        self.decisions.event("joined", members=self.count, near=len(self.local_addresses))

    async def refresh(self) -> None:
        """Write this daemon's row again, and drop the VMs that have not done so for long."""
        if not self.joined:
            return
        try:
            await self.tables.transact([], [self._own_row()])
            rows = await self.tables.rows(TABLE)
        except StoreUnavailable as error:
            self.decisions.event("members-not-refreshed", why=str(error))
            return
        for row in rows.rows:
            self._record_version(row.key, row.version)
            if self.unchanged_reads[row.key] >= MAX_UNCHANGED_READS:
                self._remove_peer(row.key)
            else:
                self._add_row(row.key, row.value)

    def _record_version(self, vm: str, version: int) -> None:
        is_unchanged = self.row_versions.get(vm) == version
        self.unchanged_reads[vm] = self.unchanged_reads.get(vm, 0) + 1 if is_unchanged else 0
        self.row_versions[vm] = version

    def _own_row(self) -> Write:
        own = self.own_hello
        row = {"address": own.address, "data_centre": own.data_centre, "link": own.link}
        return Write(TABLE, "", own.vm, json.dumps(row).encode())

    def _add_row(self, vm: str, value: bytes | None) -> None:
        try:
            hello = hello_from_row(vm, value or b"")
        except BadEntry as error:
            self.entry_errors.record(TABLE, [BadEntry(str(error), vm)])
            return
        self.add_peer(hello)

    def add_peer(self, hello: Hello) -> None:
        """Add a daemon, or replace it if its address has changed."""
        if hello.vm == self.own_hello.vm:
            return
        known = self.peers.get(hello.vm)
        if known is not None and known.address == hello.address:
            return
        self.peers[hello.vm] = hello
        self._update_addresses()

    def _remove_peer(self, vm: str) -> None:
        if self.peers.pop(vm, None) is None:
            return
        self._update_addresses()
        self.decisions.event("member-removed", peer=vm, members=self.count)

    def _update_addresses(self) -> None:
        self.all_addresses = [other.address for other in self.peers.values()]
        local = [o for o in self.peers.values() if o.data_centre == self.own_hello.data_centre]
        self.local_addresses = [other.address for other in local]
        self.sharing_addresses = self.local_addresses if len(local) <= MAX_SHARING_PEERS else []
        self.remote_addresses = [o.address for o in self.peers.values() if o not in local]

    def dump(self) -> dict:
        """Describe the members for the state dump."""
        return {vm: other.address for vm, other in self.peers.items()}


def hello_from_row(vm: str, value: bytes) -> Hello:
    """Decode a row of the table of daemons.

    Raises:
        BadEntry: The row describes no daemon that can be reached.
    """
    row = as_object(parse_json(value), "the row")
    return Hello(
        as_text(vm, "its key"),
        as_address(row.get("address"), "address"),
        as_text(row.get("data_centre"), "data_centre"),
        as_number(row.get("link", DEFAULT_LINK_MBPS), "link", 0.0, MAX_LINK_MBPS),
    )
