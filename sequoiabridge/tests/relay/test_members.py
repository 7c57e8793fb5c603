"""How daemons find each other, and which calls to the store each start makes."""

import curio

from ...relay.members import Members
from ...relay.messages import Hello
from ...store.rows import Rows, StoredRow
from .fakes import decision_log


class FakeTables:
    """One table in memory that records the calls."""

    def __init__(self):
        self.values = {}
        self.calls = []

    async def rows(self, table):
        self.calls.append("read")
        found = [StoredRow(table, "", key, value, 1) for key, value in self.values.items()]
        return Rows(found, 1)

    async def transact(self, conditions, writes):
        self.calls.append("write")
        self.values |= {write.key: write.value for write in writes}
        return 1


def address_of(vm):
    """Return an address of a VM's own."""
    return f"10.0.0.{ord(vm[0])}:1"


def start(tables, vm, first_start=False, address=""):
    """Let a daemon join; return its members and the addresses that it sent a hello to."""
    log, _ = decision_log()
    hello_addresses = []
    members = Members(
        Hello(vm, address or address_of(vm), "here", 1.0),
        tables,
        log,
        None,
        lambda hello, to: hello_addresses.append(to),
        first_start,
    )
    curio.run(members.join)
    return members, hello_addresses


def test_at_the_first_start_each_daemon_writes_before_it_reads():
    tables = FakeTables()
    start(tables, "a", first_start=True)
    members, hello_addresses = start(tables, "b", first_start=True)
    assert tables.calls == ["write", "read"] * 2
    assert list(members.peers) == ["a"] and hello_addresses == [address_of("a")]


def test_a_daemon_that_starts_again_at_its_address_writes_nothing():
    tables = FakeTables()
    for vm in ("a", "b"):
        start(tables, vm, first_start=True)
    tables.calls.clear()
    members, hello_addresses = start(tables, "a")
    assert tables.calls == ["read"]
    assert members.joined and hello_addresses == [address_of("b")]


def test_a_daemon_that_is_new_or_has_moved_writes_its_row():
    tables = FakeTables()
    start(tables, "a", first_start=True)
    for vm, address in (("a", "10.9.9.9:1"), ("new", "")):
        tables.calls.clear()
        start(tables, vm, address=address)
        assert tables.calls == ["read", "write", "read"]
    members, _ = start(tables, "new")
    assert members.peers["a"].address == "10.9.9.9:1"
