"""Datagrams between daemons."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Iterable

from curio.traps import _read_wait

from ..logs import get_log
from .messages import MAX_DATAGRAM_BYTES, Message, decode_message, encode_message

log = get_log("channel")

MAX_DATAGRAMS_PER_BATCH = 64
"""Datagrams that are taken in before other tasks run."""


class Channel:
    """Sends and receives datagrams on one address.

    Attributes:
        after_batch: Called after some datagrams have been taken in, or None.
        sent, received, unreadable: Counts of datagrams.
    """

    def __init__(self, on_message: Callable[[Message], None]):
        self.on_message = on_message
        self.after_batch: Callable[[], Awaitable[None]] | None = None
        self.sock: socket.socket | None = None
        self.sent = 0
        self.received = 0
        self.unreadable = 0

    def bind(self, address: str) -> None:
        """Listen on `address` ("IP:port"); without it, a daemon works alone."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind((host, int(port)))
        except OSError as error:
            log.warning("No datagrams on %s: %s. Free the port.", address, error)
            sock.close()
            return
        self.sock = sock

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        """Send a message to each address; what cannot be sent at once is lost."""
        if self.sock is None:
            return
        data = encode_message(message)
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                self.sock.sendto(data, (host, int(port)))
                self.sent += 1
            except OSError as error:
                log.debug("A datagram to %s was lost: %s.", address, error)

    async def run(self) -> None:
        """Receive until cancelled."""
        if self.sock is None:
            return
        while True:
            await _read_wait(self.sock)
            for _ in range(MAX_DATAGRAMS_PER_BATCH):
                try:
                    data = self.sock.recv(MAX_DATAGRAM_BYTES)
                except OSError:
                    break
                self._receive(data)
            if self.after_batch is not None:
                await self.after_batch()

    def _receive(self, data: bytes) -> None:
        self.received += 1
        message = decode_message(data)
        if message is None:
            self.unreadable += 1
            return
        self.on_message(message)
