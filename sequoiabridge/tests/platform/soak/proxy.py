"""A loopback proxy that harms the connections through it."""

from enum import Enum
from random import Random

import curio

CHUNK_SIZE = 65536
HANG_SECONDS = 3600.0


class LinkFault(Enum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one-way"
    BLACKHOLE = "silent"


class Proxy:
    """Forwards connections from an address of its own to `target`."""

    def __init__(self, target: str, random: Random):
        self.target = target
        self.random = random
        self.fault = LinkFault.NONE
        self.address = ""
        self.pairs: set[tuple] = set()

    async def start(self) -> None:
        """Listen."""
        sock = curio.tcp_server_socket("127.0.0.1", 0, backlog=512)
        self.address = "{}:{}".format(*sock.getsockname()[:2])
        await curio.spawn(curio.network.run_server, sock, self.serve, daemon=True)

    def set_fault(self, fault: LinkFault) -> None:
        """Begin to harm; a reset ends what is open, the others harm that as well."""
        self.fault = fault
        if fault is LinkFault.RESET:
            for pair in list(self.pairs):
                for side in pair:
                    abort(side)

    async def serve(self, client, peer) -> None:
        """Forward one connection."""
        if self.fault is LinkFault.RESET:
            abort(client)
            return
        host, _, port = self.target.rpartition(":")
        try:
            upstream = await curio.open_connection(host, int(port))
        except OSError:
            await client.close()
            return
        pair = (client, upstream)
        self.pairs.add(pair)
        back = await curio.spawn(self.forward(upstream, client, True), daemon=True)
        await self.forward(client, upstream, False)
        await back.wait()
        self.pairs.discard(pair)
        for side in pair:
            await side.close()

    async def forward(self, source, sink, to_client: bool) -> None:
        """Forward one direction until its end."""
        try:
            while data := await source.recv(CHUNK_SIZE):
                if self.fault is LinkFault.BLACKHOLE or (
                    self.fault is LinkFault.ONE_WAY and to_client
                ):
                    await curio.sleep(HANG_SECONDS)
                if self.fault is LinkFault.DELAY:
                    await curio.sleep(self.random.uniform(0.02, 0.3))
                await sink.sendall(data)
        except OSError:
            pass  # One side has gone; the other is ended below.
        abort(sink)


def abort(sock) -> None:
    """End a connection at once."""
    try:
        with sock.blocking() as raw:
            raw.setblocking(False)
            raw.shutdown(2)
    except OSError:
        return  # It was ended or closed already.
