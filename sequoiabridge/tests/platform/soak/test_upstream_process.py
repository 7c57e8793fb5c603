"""The ports of the soak's upstreams."""

import curio

from ....selector import LazySelector
from ..ports import BLOCK_SIZE, BLOCKS, FIRST_PORT, LAST_PORT
from .deployment import Deployment
from .upstream_process import is_closed


def test_each_start_of_an_upstream_uses_a_port_that_this_run_has_reserved():
    # A proxy of one run connected to a port that an upstream of another run had got meanwhile.
    async def ports():
        deployment = Deployment(1, 0, lambda: 0.0)
        try:
            upstream = deployment.upstreams[await deployment.add_upstream("reads")]
            first = upstream.proxy.target
            await deployment.restart_upstream(upstream, 0.0)
            return first, upstream.proxy.target
        finally:
            deployment.close()

    addresses = curio.run(ports, selector=LazySelector())
    assert len(set(addresses)) == 2
    for address in addresses:
        port = int(address.rpartition(":")[2])
        assert FIRST_PORT <= port < LAST_PORT
        assert not BLOCKS.reserve(port - (port - FIRST_PORT) % BLOCK_SIZE)


def test_an_upstream_notices_that_its_caller_has_closed_the_connection():
    # An upstream continued and asked a daemon for rest that had given the call up 0.5 s before.
    async def states():
        ours, theirs = curio.socket.socketpair()
        open_state = is_closed(ours)
        await theirs.sendall(b"x")
        with_data = is_closed(ours)
        await ours.recv(1)
        await theirs.close()
        return open_state, with_data, is_closed(ours)

    assert curio.run(states) == (False, False, True)
