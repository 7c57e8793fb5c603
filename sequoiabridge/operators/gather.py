"""Asks the other daemons' admin ports, all at once, and says which of them were not heard."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import quote

import curio
import msgspec

from ..exceptions import AdminError
from .fetch import fetch

Fetch = Callable[[str, str, str, float], Awaitable[bytes]]
"""Takes address, target, token and timeout in seconds; raises `AdminError`."""

PEER_TIMEOUT = 1.0
"""Seconds that another daemon has for its answer."""


class Peer:
    """Another daemon; `address` is its admin port, "" if that is not known."""

    __slots__ = ("vm", "address")

    def __init__(self, vm: str, address: str):
        self.vm = vm
        self.address = address


class GatheredAnswers:
    """Answers as they came, by VM, and why others gave none."""

    __slots__ = ("answers", "failures")

    def __init__(self) -> None:
        self.answers: dict[str, bytes] = {}
        self.failures: dict[str, str] = {}

    async def decode_answers(self, answer_type: type) -> dict[str, Any]:
        """Return the answers by VM, in the order of names; tasks run between two of them.

        A VM whose answer is not of this kind counts as not heard.
        """
        found = {}
        for vm, body in sorted(self.answers.items()):
            try:
                found[vm] = msgspec.json.decode(body, type=answer_type)
            except msgspec.MsgspecError:
                self.failures[vm] = "its answer could not be read"
            await curio.sleep(0)
        return found


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
        get: Fetch = fetch,
    ):
        self.peers = peers
        self.token = token
        self.timeout = timeout
        self.get = get

    async def gather(self, target: str) -> GatheredAnswers:
        """Send `GET target`, which has a query, to all peers; wait for each at most the timeout.

        Each is asked by its name, so that another daemon at its address refuses to answer for it.
        """
        gathered = GatheredAnswers()
        async with curio.TaskGroup() as group:
            for peer in self.peers():
                await group.spawn(self._query, peer, target, gathered)
        return gathered

    async def _query(self, peer: Peer, target: str, gathered: GatheredAnswers) -> None:
        if not peer.address:
            gathered.failures[peer.vm] = "its admin address is not known here"
            return
        vm_target = f"{target}&vm={quote(peer.vm, safe='')}"
        try:
            gathered.answers[peer.vm] = await self.get(
                peer.address, vm_target, self.token, self.timeout
            )
        except AdminError as error:
            gathered.failures[peer.vm] = str(error)
