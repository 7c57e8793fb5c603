"""Two nodes over real sockets: they hear each other, and a planned leave is heard as such."""

import socket
from random import Random

import curio

from ...fleet.base import DrainItem, MemberState, Urgency
from ...fleet.fleet import FleetNode
from ...timers import SystemClock, Timers
from .pump import KEY, state


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def until(condition, seconds=10):
    async with curio.timeout_after(seconds):
        while not condition():
            await curio.sleep(0.02)


def test_two_nodes_hear_each_other_and_a_leave():
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
        await until(lambda: first.live_count() == second.live_count() == 2)

        heard = []
        second.subscribe(DrainItem, lambda item, sender: heard.append((item, sender)))
        item = DrainItem("aktivera-3", 7)
        first.publish(item, Urgency.DRAIN)
        await until(lambda: heard == [(item, "vm0")])

        await first.leave()
        await until(lambda: state(second, "vm0") is MemberState.LEFT)
        await second.leave()

    curio.run(main)
