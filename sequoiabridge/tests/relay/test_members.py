"""How daemons find each other: what each start asks of the store."""

import curio

from ...relay.members import Members
from ...relay.messages import Hello
from ...store.rows import Rows, StoredRow
from .fakes import decision_log


class Table:
    """One table in memory that notes the calls."""

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
    """Return an address that is a VM's own; names are not looked up, so it must be one."""
    return f"10.0.0.{ord(vm[0])}:1"


def start(table, vm, first_start=False, address=""):
    """Let a daemon join; return the members that it knows and whom it greeted."""
    log, _ = decision_log()
    greeted = []
    members = Members(
        Hello(vm, address or address_of(vm), "here", 1.0),
        table,
        log,
        None,
        lambda hello, to: greeted.append(to),
        first_start,
    )
    curio.run(members.join)
    return members, greeted


def test_at_the_first_start_each_writes_and_then_reads_so_that_one_of_two_sees_the_other():
    table = Table()
    start(table, "a", first_start=True)
    members, greeted = start(table, "b", first_start=True)
    assert table.calls == ["write", "read"] * 2
    assert list(members.peers) == ["a"] and greeted == [address_of("a")]


def test_a_daemon_that_starts_again_where_it_was_writes_nothing():
    table = Table()
    for vm in ("a", "b"):
        start(table, vm, first_start=True)
    table.calls.clear()
    members, greeted = start(table, "a")
    assert table.calls == ["read"]
    assert members.joined and greeted == [address_of("b")]


def test_a_daemon_that_is_new_or_has_moved_writes_where_it_is():
    table = Table()
    start(table, "a", first_start=True)
    for vm, address in (("a", "10.9.9.9:1"), ("new", "")):
        table.calls.clear()
        start(table, vm, address=address)
        assert table.calls == ["read", "write", "read"]
    members, _ = start(table, "new")
    assert members.peers["a"].address == "10.9.9.9:1"
