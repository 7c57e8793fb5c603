"""Asks the other daemons' admin ports, all at once, and says which of them were not heard."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from urllib.parse import quote

from curio import TaskGroup

from ..exceptions import AdminError
from .fetch import fetch

Get = Callable[[str, str, str, float], Awaitable[bytes]]
"""Takes address, target, token and timeout in seconds; raises `AdminError`."""

PEER_TIMEOUT = 1.0
"""Seconds that another daemon has for its answer."""


class Peer:
    """Another daemon; `address` is its admin port, "" if that is not known."""

    __slots__ = ("vm", "address")

    def __init__(self, vm: str, address: str):
        self.vm = vm
        self.address = address


class Gathered:
    """Answers by VM, and why others gave none."""

    __slots__ = ("answers", "not_heard")

    def __init__(self) -> None:
        self.answers: dict[str, bytes] = {}
        self.not_heard: dict[str, str] = {}


class Gatherer:
    """Asks all peers the same; the operator's token is the same on all of them.

    Args:
        peers: Returns the other daemons that are believed to live.
        get: Makes one request, as `fetch.fetch` does.
    """

    def __init__(
        self,
        peers: Callable[[], list[Peer]],
        token: str,
        timeout: float = PEER_TIMEOUT,
        get: Get = fetch,
    ):
        self.peers = peers
        self.token = token
        self.timeout = timeout
        self.get = get

    async def gather(self, target: str) -> Gathered:
        """Send `GET target`, which has a query, to all peers; wait for each at most the timeout.

        Each is asked by its name, so that another daemon at its address refuses to answer for it.
        """
        gathered = Gathered()
        async with TaskGroup() as group:
            for peer in self.peers():
                await group.spawn(self._ask, peer, target, gathered)
        return gathered

    async def _ask(self, peer: Peer, target: str, gathered: Gathered) -> None:
        if not peer.address:
            gathered.not_heard[peer.vm] = "its admin address is not known here"
            return
        named = f"{target}&vm={quote(peer.vm, safe='')}"
        try:
            gathered.answers[peer.vm] = await self.get(
                peer.address, named, self.token, self.timeout
            )
        except AdminError as error:
            gathered.not_heard[peer.vm] = str(error)
