"""Tests of running commands: failing peers, conflicting changes, typed conditions, limits."""

import curio
import pytest

from ...exceptions import ConflictError
from ...operators.errors import ConfigurationBehind, InvalidChange, LanguageError, NotFound
from ...operators.executor import DEFAULT_LIMIT
from ...operators.fetch import fetch
from ...operators.gather import Peer
from ...operators.rows import UpstreamRow
from .fakes import FakeDaemon


async def answer_once(sock, answer):
    async with sock:
        client, _ = await sock.accept()
    async with client:
        await client.sendall(answer)
        if not answer:
            await curio.sleep(3600)


TRUNCATED_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n[{"
INVALID_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n[{"name":1}]'


async def closed_address():
    """Return an address that refuses connections."""
    sock = curio.network.tcp_server_socket("127.0.0.1", 0)
    async with sock:
        return f"127.0.0.1:{sock.getsockname()[1]}"


def run_with_peers(command):
    """Run a command on a daemon with one working peer and six that fail in different ways.

    They do not answer, answer incompletely, answer with invalid rows, have no known address,
    refuse connections, or have an address at which another VM answers.
    """

    async def run():
        peers, tasks = [Peer("unknown", "")], []
        for vm, answer in (
            ("unresponsive", b""),
            ("truncated", TRUNCATED_ANSWER),
            ("garbled", INVALID_ANSWER),
        ):
            sock = curio.network.tcp_server_socket("127.0.0.1", 0)
            peers.append(Peer(vm, f"127.0.0.1:{sock.getsockname()[1]}"))
            tasks.append(await curio.spawn(answer_once(sock, answer)))
        async with FakeDaemon("vm0") as other:
            other.journal.record("r7", "spendview", "read", "a1", 200, 0.01, 0.0, attempts=2)
            peers.append(Peer("refusing", await closed_address()))
            peers += [Peer("vm0", other.server.address), Peer("moved", other.server.address)]

            async def get(address, target, token, timeout):
                # A long timeout for the others, so that they also answer in time on a busy machine.
                is_unresponsive = address == peers[1].address
                return await fetch(address, target, token, 0.05 if is_unresponsive else 60.0)

            daemon = FakeDaemon("vm1", peers=peers, get=get)
            result = await daemon.executor.execute(command, "anna")
            for task in tasks:
                await task.cancel()
            return result.ok if result.is_ok() else result.error

    return curio.run(run)


@pytest.mark.parametrize(
    ("in_force", "message"),
    [
        ((3, 3), "Accepted as version 2, in force on 3 of 3 VMs."),
        ((1, 3), "Accepted as version 2, in force on 1 of 3 VMs so far; see show vms."),
    ],
)
def test_the_message_says_on_how_many_vms_a_change_is_in_force(in_force, message):
    daemon = FakeDaemon("vm1")
    daemon.configuration.in_force = in_force
    reply = curio.run(daemon.executor.execute, "drain upstream a1", "anna")
    assert reply.ok.message == message


def test_vms_that_fail_are_reported_by_name():
    reply = run_with_peers("show upstreams where in_flight >= 2")
    assert [row[:2] for row in reply.rows] == [["a1", "vm0"], ["a1", "vm1"]]
    assert reply.heard == ["vm1", "vm0"]
    assert set(reply.not_heard) == {
        "unresponsive",
        "truncated",
        "garbled",
        "unknown",
        "moved",
        "refusing",
    }
    assert "no answer within" in reply.not_heard["unresponsive"]
    assert reply.not_heard["truncated"].startswith("its answer is incomplete")
    assert reply.not_heard["refusing"].endswith("failed (Connection refused)")
    assert reply.not_heard["moved"].startswith(
        "it answered with status 421: This is vm0, not moved;"
    )
    assert [row[:2] for row in run_with_peers("show upstreams limit 1").rows] == [["a1", "vm0"]]


def test_explain_queries_peers_and_names_those_without_an_answer():
    reply = run_with_peers("explain r7")
    assert [row[0] for row in reply.rows] == ["vm0", "vm0"]
    assert "after 10.0 ms and 2 attempts" in reply.rows[-1][1]
    missing = run_with_peers("explain r8")
    assert isinstance(missing, NotFound)
    assert "No answer from: garbled, moved, refusing, truncated, unknown, unresponsive" in str(
        missing
    )


@pytest.mark.parametrize(
    "where, names",
    [
        ("in_flight < 1", ["a2"]),
        ("service ~ SPEND", ["a1"]),
        ("name != a1 and service = mottag", ["a2"]),
    ],
)
def test_conditions_compare_values_by_the_type_of_the_field(where, names):
    reply = FakeDaemon().execute(f"show upstreams where {where}")
    assert [row[0] for row in reply.rows] == names


def test_a_value_of_the_wrong_type_is_an_error_with_its_column():
    error = FakeDaemon().execute("show upstreams where in_flight > many")
    assert isinstance(error, LanguageError)
    assert error.column == 22
    assert [row[0] for row in FakeDaemon().execute("show upstreams of mottag").rows] == ["a2"]


def test_a_long_answer_is_truncated_with_a_message():
    daemon = FakeDaemon()
    rows = [UpstreamRow(f"u{number:04}", "vm1") for number in range(DEFAULT_LIMIT + 1)]
    daemon.executor.source.all_rows = rows[::-1]
    reply = daemon.execute("show upstreams")
    assert (len(reply.rows), reply.rows[0][0]) == (DEFAULT_LIMIT, "u0000")
    assert "Only the first" in reply.message
    assert len(daemon.execute("show upstreams limit 9999").rows) == DEFAULT_LIMIT + 1
    for_peer = curio.run(daemon.executor.local_rows("show upstreams limit 2")).ok
    assert [row.name for row in for_peer] == ["u0000", "u0001", "u0002"]


def test_set_keeps_the_other_options_and_a_dry_run_changes_nothing():
    daemon = FakeDaemon()
    change = "set upstream a1 slots = 4"
    dry = daemon.execute(change + " dry run expect version 1")
    assert dry.rows == [["upstream", "a1", "slots", "0", "4"]]
    assert (dry.version, max(daemon.configuration.documents)) == (1, 1)
    assert daemon.execute(change).version == 2
    upstream = daemon.configuration.document().upstreams["a1"]
    assert (upstream.slots, upstream.address) == (4, "10.0.0.1:80")
    assert daemon.execute("diff 1 2").rows == dry.rows
    assert daemon.execute(change).message.startswith("Nothing to change")
    assert max(daemon.configuration.documents) == 2


def test_changes_based_on_another_version_are_rejected():
    daemon = FakeDaemon()
    daemon.execute("set upstream a1 slots = 4")
    newest = daemon.configuration.document()
    daemon.configuration.lag = 1
    assert isinstance(daemon.execute("drain upstream a1"), ConflictError)
    assert isinstance(daemon.execute("drain upstream a1 expect version 2"), ConfigurationBehind)
    daemon.configuration.lag = 0
    assert isinstance(daemon.execute("release claim claim-1 expect version 1"), ConflictError)
    assert daemon.configuration.document() is newest
    assert daemon.releaser.released == []


@pytest.mark.parametrize(
    "command, kind, words",
    [
        ("remove pool pool-a", InvalidChange, "a1"),
        ("add upstream a1 with pool = pool-a, address = 10.0.0.2:80", InvalidChange, "with set"),
        ("set upstream a1 slotz = 4", InvalidChange, "slots"),
        ("drain upstream a9", NotFound, "show upstreams"),
        ("release crash 00", NotFound, "00"),
    ],
)
def test_invalid_changes_are_rejected_with_a_remedy(command, kind, words):
    daemon = FakeDaemon()
    error = daemon.execute(command)
    assert isinstance(error, kind)
    assert words in str(error)
    assert max(daemon.configuration.documents) == 1


def test_apply_replaces_the_configuration_but_rejects_an_empty_document():
    daemon = FakeDaemon()
    text = daemon.configuration.document().to_ini() + "\n[service mottag]\npath_prefix = /images\n"
    reply = curio.run(daemon.executor.apply(text, "anna", 1, False)).ok
    assert ["service", "mottag", "(entry)", "", "added"] in reply.rows
    assert daemon.configuration.document().services.keys() == {"spendview", "mottag"}
    assert curio.run(daemon.executor.apply("", "anna", None, False)).is_error()
    assert curio.run(daemon.executor.apply(text, "anna", 1, False)).is_error()
