"""Tests of the port at which a daemon opens connections to upstreams for its peers."""

import signal
import socket
import subprocess
import sys
from random import Random

import curio
import pytest

from ....balancing.path_peers import PathPeer
from ....exceptions import UpstreamFailed
from ....relay.paths import peer_port
from ....upstreams.link import RESET_ON_CLOSE
from ...platform.ports import free_port
from .peer_scene import (
    KEY,
    UNREACHABLE,
    answer_and_close,
    answer_and_reset,
    echo,
    make_key,
    run_scene,
)

REQUEST = b"x" * 600_000
"""More than an upstream that reads nothing receives."""


async def read_all(link):
    """Return all bytes until the end of the stream."""
    while not link.received.closed:
        await link.receive()
    return link.received.take(len(link.received))


def test_a_connection_through_a_peer_carries_bytes_in_both_directions():
    async def test(scene):
        scene.lose_direct_path()
        link = await scene.opener.open(scene.upstream, 1.0)
        assert (link.via, link.address, link.sent) == ("peer", scene.upstream, False)
        link.try_send(b"ping")
        await link.receive()
        assert link.received.take(100) == b"ping"
        assert scene.port.tunnels == 1
        await link.close()
        while scene.port.tunnels:
            await curio.sleep(0.01)

    run_scene(test, echo)


def test_the_end_of_an_answer_is_passed_on():
    async def test(scene):
        scene.lose_direct_path()
        link = await scene.opener.open(scene.upstream, 1.0)
        link.try_send(b"request")
        assert await read_all(link) == b"whole"

    run_scene(test, answer_and_close)


def test_an_answer_that_is_reset_does_not_look_complete():
    async def test(scene):
        scene.lose_direct_path()
        link = await scene.opener.open(scene.upstream, 1.0)
        link.try_send(b"request")
        with pytest.raises(UpstreamFailed):
            await read_all(link)

    run_scene(test, answer_and_reset)


async def read_nothing(client, address):
    """Leave what comes unread."""
    await curio.sleep(100)


def test_a_connection_ends_with_its_peer_while_the_upstream_reads_nothing():
    # It was kept for as long as the upstream held its side, with all that the peer had sent.
    async def test(scene):
        scene.lose_direct_path()
        link = await scene.opener.open(scene.upstream, 1.0)
        sent = quiet_rounds = 0
        while quiet_rounds < 20:
            count = link.try_send(bytes(1 << 20))
            sent, quiet_rounds = sent + count, 0 if count else quiet_rounds + 1
            await curio.sleep(0.01)
        assert sent > peer_port.CHUNK_BYTES and scene.port.tunnels == 1
        await link.close()
        async with curio.timeout_after(2):
            while scene.port.tunnels:
                await curio.sleep(0.01)

    run_scene(test, read_nothing)


def test_an_upstream_that_sends_without_end_leaves_time_for_other_connections():
    async def send_without_end(client, address):
        request = await client.recv(65536)
        while request != b"one":
            await client.sendall(bytes(1 << 16))
            await curio.sleep(0)
        await client.sendall(b"answer")

    async def test(scene):
        scene.lose_direct_path()
        flooded = await scene.opener.open(scene.upstream, 1.0)
        flooded.try_send(b"many")
        reader = await curio.spawn(read_all, flooded, daemon=True)
        for _ in range(10):
            link = await scene.opener.open(scene.upstream, 1.0)
            link.try_send(b"one")
            async with curio.timeout_after(0.5):
                await link.receive()
            assert link.received.take(100) == b"answer"
            await link.close()
        await reader.cancel()

    run_scene(test, send_without_end)


PEER_PROCESS = """
import curio, sys
from sequoiabridge.tests.relay.paths import peer_scene
from sequoiabridge.relay.paths.opener import PathOpener
from sequoiabridge.relay.paths.peer_port import PeerPort
from sequoiabridge.timers import SystemClock

async def main(address, upstream):
    scene = peer_scene.PeerScene(None)
    scene.upstream = upstream
    opener = PathOpener(scene.make_table([]), peer_scene.make_key(), SystemClock())
    key, listed = peer_scene.make_key(), lambda address: True
    port = PeerPort(opener, key, listed, lambda: "", scene.decisions)
    port.bind(address)
    print("ready", flush=True)
    await port.run()

curio.run(main, *sys.argv[1:])
"""


def test_an_answer_does_not_look_complete_when_the_peer_is_killed():
    # The kernel ends the connections of a killed process in order unless it is told otherwise.
    async def send_part(client, address):
        await client.recv(65536)
        await client.sendall(b"part")
        await curio.sleep(100)

    async def test(scene):
        address = f"127.0.0.1:{free_port()}"
        command = [sys.executable, "-c", PEER_PROCESS, address, scene.upstream]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        try:
            await curio.run_in_thread(process.stdout.readline)
            scene.table.peers.update([PathPeer("process", address)])
            scene.lose_direct_path()
            link = await scene.opener.open(scene.upstream, 1.0)
            link.try_send(b"request")
            await link.receive()
            process.send_signal(signal.SIGKILL)
            with pytest.raises(UpstreamFailed):
                await read_all(link)
        finally:
            process.kill()
            process.wait()

    run_scene(test, send_part)


def test_a_departure_reaches_the_upstream_within_half_a_second():
    ended = []

    async def wait_for_end(client, address):
        while await client.recv(65536):
            pass
        ended.append(address)

    async def test(scene):
        scene.lose_direct_path()
        link = await scene.opener.open(scene.upstream, 1.0)
        link.try_send(b"request")
        await curio.sleep(0.05)
        await link.close()
        async with curio.timeout_after(0.5):
            while not ended:
                await curio.sleep(0.01)

    run_scene(test, wait_for_end)


@pytest.mark.parametrize("ending", ["reset", "end-and-reset", "end"])
def test_an_answer_that_ends_before_its_request_was_received_is_reset(ending):
    # The end of the upstream's stream was passed on although bytes of the request were left.
    async def answer_early(client, address):
        await client.recv(1)
        await client.sendall(b"part")
        if ending != "reset":
            await client.shutdown(socket.SHUT_WR)
            await curio.sleep(0.1)
        if ending != "end":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await client.close()
        await curio.sleep(100)

    async def test(scene):
        scene.lose_direct_path()
        link = await scene.opener.open(scene.upstream, 1.0)
        link.try_send(REQUEST)
        with pytest.raises(UpstreamFailed):
            await read_all(link)
        await link.close()

    run_scene(test, answer_early)


def rejected(scene):
    """Return the status and peer-visible reason of the events that were logged."""
    return [fields["status"] for event, fields in scene.decisions.events]


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01\x02\x03\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"CONNECT HTTP/1.1\r\n\r\n",
        b"x" * 5000,
        b"CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    ],
)
def test_bytes_that_are_no_request_get_an_error_and_a_log_line(data):
    async def test(scene):
        answer = await scene.exchange(data)
        assert answer.startswith(b"HTTP/1.1 400 ") and b"CONNECT requests of the fleet" in answer
        assert rejected(scene) == ["malformed"]

    run_scene(test, echo)


def test_random_bytes_never_open_a_connection():
    async def test(scene):
        random = Random(5)
        for _ in range(40):
            data = random.randbytes(random.randint(1, 200)) + b"\r\n\r\n"
            assert b"400 Malformed" in await scene.exchange(data)
        assert scene.port.opened == 0 and scene.port.rejected == {"malformed": 40}

    run_scene(test, echo)


def test_silence_gets_an_error_too(monkeypatch):
    monkeypatch.setattr(peer_port, "HEAD_TIMEOUT", 0.05)

    async def test(scene):
        assert b"No request came" in await scene.exchange(b"CONNECT 10")

    run_scene(test, echo)


@pytest.mark.parametrize("key", ["x", KEY[:-1], KEY + "0"])
def test_only_the_fleets_key_opens_a_connection(key):
    async def test(scene):
        answer = await scene.exchange(scene.request(scene.upstream, key))
        assert answer.startswith(b"HTTP/1.1 403 ") and b"token" in answer
        assert scene.port.opened == 0 and rejected(scene) == ["forbidden"]

    run_scene(test, echo)


def test_a_token_that_another_peer_was_given_opens_no_connection():
    # Whoever passes for a peer gets tokens of daemons that ask it.
    async def test(scene):
        data = scene.request(scene.upstream, peer="127.0.0.1:1")
        assert (await scene.exchange(data)).startswith(b"HTTP/1.1 403 ")
        other = scene.request("127.0.0.1:1").replace(b"127.0.0.1:1", scene.upstream.encode())
        assert (await scene.exchange(other)).startswith(b"HTTP/1.1 403 ")

    run_scene(test, echo)


def test_a_request_without_a_token_is_rejected():
    async def test(scene):
        answer = await scene.exchange(b"CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 403 ")

    run_scene(test, echo)


def test_a_daemon_that_has_not_read_the_key_serves_nobody():
    async def test(scene):
        scene.port.key = make_key("")
        scene.port.key.loaded_at = float("inf")
        for key in ("x", KEY):
            answer = await scene.exchange(scene.request(scene.upstream, key))
            assert answer.startswith(b"HTTP/1.1 403 ")

    run_scene(test, echo)


def test_only_listed_upstreams_are_reached():
    async def test(scene):
        scene.listed.clear()
        answer = await scene.exchange(scene.request(scene.upstream))
        assert answer.startswith(b"HTTP/1.1 403 ") and b"no listed upstream" in answer
        assert rejected(scene) == ["forbidden"]

    run_scene(test, echo)


def test_a_peer_that_cannot_help_says_so():
    async def test(scene):
        scene.why_unable = "This VM stops."
        answer = await scene.exchange(scene.request(scene.upstream))
        assert answer.startswith(b"HTTP/1.1 503 ") and b"This VM stops. Ask another" in answer
        assert scene.decisions.events == []

    run_scene(test, echo)


def test_a_peer_serves_a_limited_number_of_connections(monkeypatch):
    monkeypatch.setattr(peer_port, "MAX_TUNNELS", 1)

    async def test(scene):
        scene.lose_direct_path()
        link = await scene.opener.open(scene.upstream, 1.0)
        answer = await scene.exchange(scene.request(scene.upstream))
        assert answer.startswith(b"HTTP/1.1 503 ")
        await link.close()

    run_scene(test, echo)


def test_connections_that_ask_for_nothing_do_not_pile_up(monkeypatch):
    monkeypatch.setattr(peer_port, "MAX_CONNECTIONS", 3)

    async def test(scene):
        host, _, port = scene.address.rpartition(":")
        socks = [await curio.open_connection(host, int(port)) for _ in range(5)]
        while scene.port.rejected.get("too-many") != 2:
            await curio.sleep(0.01)
        assert scene.port.tunnels == 3
        for sock in socks:
            await sock.close()

    run_scene(test, echo)


def test_an_upstream_that_refuses_the_peer_counts_as_refusing():
    async def test(scene):
        scene.listed.add(UNREACHABLE)
        answer = await scene.exchange(scene.request(UNREACHABLE))
        assert answer.startswith(b"HTTP/1.1 502 ")
        with pytest.raises(UpstreamFailed) as caught:
            await scene.opener.open(UNREACHABLE, 1.0)
        assert caught.value.refused and not caught.value.sent
        scene.why_unable = "It has no path."
        scene.table.by_address.clear()
        with pytest.raises(UpstreamFailed) as caught:
            await scene.opener.open(UNREACHABLE, 1.0)
        assert not caught.value.refused  # Only this VM's path may be closed.

    run_scene(test, echo)
