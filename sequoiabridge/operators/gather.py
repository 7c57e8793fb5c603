"""Queries the admin ports of all peers concurrently and records which of them failed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

import curio
import msgspec

from ..exceptions import AdminError
from .fetch import fetch

Fetch = Callable[[str, str, str, float], Awaitable[bytes]]
"""Takes an address, target, token and timeout in seconds; raises `AdminError`."""

PEER_TIMEOUT = 1.0
"""Seconds after which a query of a peer fails."""


class Peer:
    """A peer; `address` is that of its admin port, or "" if it is unknown."""

    __slots__ = ("vm", "address")

    def __init__(self, vm: str, address: str):
        self.vm = vm
        self.address = address


class GatheredAnswers:
    """Undecoded answers by VM, and the reason of each failure by VM."""

    __slots__ = ("answers", "failures")

    def __init__(self) -> None:
        self.answers: dict[str, bytes] = {}
        self.failures: dict[str, str] = {}

    async def decode_answers(self, answer_type: type) -> dict[str, Any]:
        """Return the decoded answers by VM, sorted by name; yields to other tasks in between.

        An answer that cannot be decoded as `answer_type` becomes a failure.
        """
        found = {}
        for vm, body in sorted(self.answers.items()):
            try:
                found[vm] = msgspec.json.decode(body, type=answer_type)
            except msgspec.MsgspecError:
                self.failures[vm] = "its answer could not be decoded"
            await curio.sleep(0)
        return found


class Gatherer:
    """Sends the same query to all peers.

    Args:
        peers: Returns the live peers.
        token: The operators' token, which is the same on all VMs.
        timeout: Seconds after which a query of a peer fails.
        get: Sends one request, as `fetch.fetch` does.
    """

    def __init__(
        self,
        peers: Callable[[], list[Peer]],
        token: str,
        timeout: float = PEER_TIMEOUT,
        get: Fetch = fetch,
    ):
        self.peers = peers
        self.token = token
        self.timeout = timeout
        self.get = get

    async def gather(self, target: str) -> GatheredAnswers:
        """Send `GET target` to all peers; `target` must have a query string.

        The name of the peer is added to the query, so that another VM at its address rejects it.
        """
        gathered = GatheredAnswers()
        async with curio.TaskGroup() as group:
            for peer in self.peers():
                await group.spawn(self._query, peer, target, gathered)
        return gathered

    async def _query(self, peer: Peer, target: str, gathered: GatheredAnswers) -> None:
        if not peer.address:
            gathered.failures[peer.vm] = "its admin address is unknown"
            return
        vm_target = f"{target}&vm={quote(peer.vm, safe='')}"
        try:
            gathered.answers[peer.vm] = await self.get(
                peer.address, vm_target, self.token, self.timeout
            )
        except AdminError as error:
            gathered.failures[peer.vm] = str(error)
