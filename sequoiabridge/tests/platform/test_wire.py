"""Tests of decoding configuration and entries, and of the store client over HTTP."""

import re
from pathlib import Path

import curio
import pytest

from ...exceptions import ConditionFailed, HistoryLost, StoreRefused, StoreUnavailable
from ...platform import names
from ...platform.client import PlatformClient, checked_body
from ...platform.configuration import decode_route_table
from ...platform.feeds import ConfigurationFeed, UpstreamFeed
from ...store.rows import Condition, Write
from ...timers import SystemClock
from ...upstreams.fetch import FetchedAnswer
from .environment import document, route
from .store_emulator import StoreEmulator

PACKAGE = Path(__file__).parents[2]


def with_store(test):
    """Run `test(client, store)` against an emulated store over a real connection."""

    async def main():
        store = StoreEmulator()
        sock = curio.tcp_server_socket("127.0.0.1", 0)
        task = await curio.spawn(curio.network.run_server, sock, store.serve, daemon=True)
        address = "{}:{}".format(*sock.getsockname()[:2])
        await curio.timeout_after(10, test, PlatformClient(address, SystemClock()), store)
        await task.cancel()

    curio.run(main)


def test_a_route_has_its_settings_and_uploads_are_not_idempotent():
    weighted_services = [{"service": "reads", "weight": 90}, {"service": "approvals", "weight": 10}]
    table = decode_route_table(
        document(7, [route("/s/", "idempotent", None, weighted_services=weighted_services)])
    )
    read = table.match(b"Reads.Example:80", b"/read/x")
    assert (read.idempotent, read.timeout, read.max_attempts) == (True, 1.0, 2)
    assert not table.match(b"reads.example", b"/upload/x").idempotent
    assert not table.match(b"reads.example", b"/approve/x").idempotent
    weights = [(t.service, t.weight) for t in table.match(b"reads.example", b"/s/1").targets]
    assert weights == [("reads", 90.0), ("approvals", 10.0)]
    assert table.match(b"reads.example", b"/reads") is None
    assert table.version == 7 and table.limits.idle_timeout == 15.0


def test_feeds_return_entries_removals_and_invalid_entries():
    async def test(client, store):
        feed = UpstreamFeed(client)
        info = {"service": "s", "zone": "z", "slots": 2, "version": "v1"}
        status = {"state": "draining", "sequence": 1, "cold_remaining_s": 0}
        entry = {"address": "1.2.3.4:5", "info": info, "status": status}
        await store.put("servers", "i-1", entry)
        await store.put("servers", "i-2", {"address": 7})
        found = feed.replace_rows(await feed.read_all())
        assert [(u.id, u.draining) for u in found.entries] == [("i-1", True)]
        assert len(found.problems) == 1
        await store.put("servers", "i-1", None)
        changed = feed.update_rows(await feed.read_changes(found.version, 1.0))
        assert changed.removed == ["i-1"] and changed.entries == []

    with_store(test)


def test_only_the_configuration_row_of_its_table_is_decoded():
    async def test(client, store):
        await store.put("op", "other", {"x": 1})
        await store.put("op", "config", document(3))
        feed = ConfigurationFeed(client)
        assert [t.version for t in feed.replace_rows(await feed.read_all()).entries] == [3]

    with_store(test)


def test_all_pages_of_a_table_are_read():
    async def test(client, store):
        for number in range(1203):
            await store.put("t", f"k{number:04}", {"n": number})
        found = await client.rows("t")
        assert [row.key for row in found.rows] == [f"k{n:04}" for n in range(1203)]

    with_store(test)


def test_a_transaction_checks_its_conditions():
    async def test(client, store):
        row = Write("t", "", "k", b"\x00v")
        await client.transact([Condition("t", "", "k", 0)], [row])
        with pytest.raises(ConditionFailed):
            await client.transact([Condition("t", "", "k", 0)], [row])
        assert (await client.rows("t")).rows[0].value == b"\x00v"
        await client.transact([], [Write("t", "", "k", None)])
        assert (await client.rows("t")).rows == []

    with_store(test)


def test_each_failure_raises_the_error_that_says_what_is_known():
    async def test(client, store):
        await store.put("t", "k", {})
        store.forget_history()
        with pytest.raises(HistoryLost):
            await client.changes("t", 0, 0.0)
        store.faults.refuse = 1
        with pytest.raises(StoreRefused):
            await client.rows("t")
        store.faults.lose_answers = 1
        with pytest.raises(StoreUnavailable) as lost:
            await client.transact([], [Write("t", "", "k2", b"")])
        assert not isinstance(lost.value, StoreRefused), "the row may have been written"
        assert len((await client.rows("t")).rows) == 2

    with_store(test)


@pytest.mark.parametrize(
    ("status", "refused"),
    [(400, True), (413, True), (429, True), (503, True), (408, False), (500, False)],
)
def test_only_a_refusal_status_proves_that_nothing_was_written(status, refused):
    with pytest.raises(StoreUnavailable) as found:
        checked_body(FetchedAnswer(status, b""))
    assert isinstance(found.value, StoreRefused) is refused


WIRE_NAMES = [
    *(value.decode() for value in vars(names).values() if isinstance(value, bytes)),
    *("rows-tx", "rows-get", "rows-feed", "expected_rev", "virtual_hosts", "route_type"),
    *("non_idempotent", "weighted_services", "target_latency_s", "cold_remaining_s"),
]
STANDARD_NAMES = {"retry-after", "content-encoding"}
"""Standard names of HTTP, which may stand anywhere."""


def test_wire_names_are_used_only_in_the_adapter_and_its_tests():
    found = []
    for file in PACKAGE.rglob("*.py"):
        if "platform" in file.relative_to(PACKAGE).parts[:2] or file.name == "test_gateway.py":
            continue
        text = file.read_text().lower()
        for name in set(WIRE_NAMES) - STANDARD_NAMES:
            if re.search(rf"\b{re.escape(name)}\b", text):
                found.append(f"{file.relative_to(PACKAGE)}: {name}")
    assert found == []
