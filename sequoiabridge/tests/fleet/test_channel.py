"""Two nodes over real sockets: exchange of messages, leaving, and replacement of connections."""

import socket
from random import Random

import curio

from ...fleet.base import DrainItem, MemberState, Urgency
from ...fleet.channel import NngChannel
from ...fleet.fleet import FleetNode
from ...fleet.members import EventKind
from ...timers import SystemClock, Timers
from .simulation import KEY, state


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def wait_until(condition, seconds=10):
    async with curio.timeout_after(seconds):
        while not condition():
            await curio.sleep(0.02)


def test_two_nodes_exchange_messages_and_detect_a_leave():
    async def main():
        addresses = [free_address(), free_address()]
        nodes = []
        for i, address in enumerate(addresses):
            timers = Timers(SystemClock())
            await curio.spawn(timers.run, daemon=True)
            node = FleetNode(
                f"vm{i}", "dc", address, addresses, [KEY], timers, timers.clock, Random(i)
            )
            await node.start()
            nodes.append(node)
        first, second = nodes
        await wait_until(lambda: first.live_count() == second.live_count() == 2)

        received = []
        second.subscribe(DrainItem, lambda item, sender: received.append((item, sender)))
        item = DrainItem("aktivera-3", 7)
        first.publish(item, Urgency.DRAIN)
        await wait_until(lambda: received == [(item, "vm0")])

        await first.leave()
        await wait_until(lambda: state(second, "vm0") is MemberState.LEFT)
        await second.leave()

    curio.run(main)


class TcpProxy:
    """TCP proxy; discards the data of its first `blocked_count` connections."""

    def __init__(self, target):
        host, port = target.split(":")
        self.target = host, int(port)
        self.blocked_count = self.accepted_count = 0

    async def serve(self, client, address):
        self.accepted_count += 1
        number = self.accepted_count
        upstream = await curio.open_connection(*self.target)
        back = await curio.spawn(self.copy, upstream, client, number, daemon=True)
        await self.copy(client, upstream, number)
        await back.cancel()

    async def copy(self, source, sink, number):
        while data := await source.recv(65536):
            if number > self.blocked_count:
                await sink.sendall(data)


def test_a_failed_connection_is_replaced_before_the_peer_is_declared_dead():
    async def main():
        outer, inner, other = free_address(), free_address(), free_address()
        proxy, events, nodes = TcpProxy(inner), [], []
        host, port = outer.split(":")
        await curio.spawn(curio.tcp_server, host, int(port), proxy.serve, daemon=True)
        for i, (address, channel) in enumerate(
            [(outer, NngChannel(inner)), (other, NngChannel(other))]
        ):
            timers = Timers(SystemClock())
            await curio.spawn(timers.run, daemon=True)
            node = FleetNode(
                f"vm{i}",
                "dc",
                address,
                [outer, other],
                [KEY],
                timers,
                timers.clock,
                Random(i),
                channel=channel,
            )
            node.on_event(lambda e: events.append(e.kind))
            await node.start()
            nodes.append(node)
        first, second = nodes
        await wait_until(lambda: first.live_count() == second.live_count() == 2)
        proxy.blocked_count = proxy.accepted_count
        await wait_until(lambda: proxy.accepted_count > proxy.blocked_count)
        received_before = first.counters.messages_received
        await wait_until(lambda: first.counters.messages_received > received_before + 2)
        assert EventKind.DIED not in events
        assert second.channel.redials > 0
        for node in nodes:
            await node.leave()

    curio.run(main)
