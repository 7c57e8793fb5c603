"""Datagrams between daemons, over UDP."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Iterable

from curio.traps import _read_wait

from ..logs import get_log
from .message_codec import MAX_DATAGRAM_BYTES, decode_message, encode_message
from .messages import Message

log = get_log("channel")

MAX_DATAGRAMS_PER_BATCH = 64
"""Maximum number of datagrams that are received before other tasks run."""


class Channel:
    """Sends and receives datagrams on one UDP socket.

    Args:
        on_message: Called with each message received.

    Attributes:
        after_batch: Awaited after each batch of datagrams, unless None.
        sent: Number of datagrams sent.
        received: Number of datagrams received.
        unreadable: Number of datagrams received that were invalid.
        failed: Number of messages that could not be handled because of an internal error.
    """

    def __init__(self, on_message: Callable[[Message], None]):
        self.on_message = on_message
        self.after_batch: Callable[[], Awaitable[None]] | None = None
        self.sock: socket.socket | None = None
        self.sent = 0
        self.received = 0
        self.unreadable = 0
        self.failed = 0

    def bind(self, address: str) -> None:
        """Bind the socket to `address` ("IP:port"); on failure, the daemon runs without peers."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind((host, int(port)))
        except OSError as error:
            log.warning(
                "Cannot bind UDP address %s: %s. Free the port and restart.",
                address,
                error,
            )
            sock.close()
            return
        self.sock = sock

    def send(self, message: Message, addresses: Iterable[str]) -> None:
        """Send a message to each address; datagrams that cannot be sent at once are dropped."""
        if self.sock is None:
            return
        data = encode_message(message)
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                self.sock.sendto(data, (host, int(port)))
                self.sent += 1
            except (OSError, ValueError, OverflowError) as error:
                # What daemons tell each other must not fail a call.
                log.debug("Dropped a datagram to %s: %s.", address, error)

    async def run(self) -> None:
        """Receive datagrams until cancelled."""
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
        try:
            self.on_message(message)
        except Exception:
            # One message must not end the task that reads all.
            self.failed += 1
            log.exception("Cannot handle a message of type %s.", type(message).__name__)
