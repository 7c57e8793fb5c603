"""Callers that do not behave: they stop short, send too much, take nothing, or come again."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from errno import EINPROGRESS

import curio

PIECE_BYTES = 16 * 1024
"""Size of the pieces in which a caller sends what it does not send at once."""

SEND_TIMEOUT = 20.0
"""Seconds after which a caller sends no more, also if the daemon takes nothing from it."""

SMALL_RECEIVE_BUFFER = 4096
"""Receive buffer in bytes of callers that take no answer."""


def head(method: str, target: str, framing: str = "", host: str = "reads.example") -> bytes:
    """Return a request's head; `framing` is the line that says how its body ends."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", "X-Deadline-Ms: 60000"]
    lines += [framing] if framing else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunked(size: int, chunk: int) -> bytes:
    """Return a chunked body of `size` bytes without its end, in chunks of `chunk` bytes."""
    return (b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)) * (size // chunk)


def pieces(data: bytes) -> Iterator[bytes]:
    """Return data in pieces."""
    return (data[at : at + PIECE_BYTES] for at in range(0, len(data), PIECE_BYTES))


class CrowdCaller:
    """One caller.

    Args:
        address: "IP:port" of the daemon.
        data: What it sends; then it keeps the connection open.
        in_pieces: Send it in pieces, so that the pieces of all callers mix.
        visits: How often it comes; after each visit but the last it resets its connection.
        takes_answers: Whether it reads what comes back.
        block: What it sends again and again after that, until the daemon ends the connection or
            `max_bytes` are sent.

    Attributes:
        opened: Number of connections that were opened.
        sent: Number of bytes sent.
        received: First bytes that came back on the last connection.
    """

    def __init__(
        self,
        address: str,
        data: bytes,
        *,
        in_pieces: bool = False,
        visits: int = 1,
        takes_answers: bool = True,
        block: bytes = b"",
        max_bytes: int = 0,
    ):
        self.address = address
        self.data = data
        self.in_pieces = in_pieces
        self.visits = visits
        self.takes_answers = takes_answers
        self.block = block
        self.max_bytes = max_bytes
        self.opened = 0
        self.sent = 0
        self.received = b""
        self.sock: curio.io.Socket | None = None

    async def run(self) -> None:
        """Make all visits; the last connection stays open."""
        for visit in range(self.visits):
            if visit:
                await self.reset()
            try:
                async with curio.timeout_after(SEND_TIMEOUT):
                    await self._visit()
            except (OSError, curio.TaskTimeout):
                continue

    async def reset(self) -> None:
        """Reset the connection."""
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            await sock.close()

    async def _visit(self) -> None:
        host, _, port = self.address.rpartition(":")
        raw = socket.socket()
        raw.setblocking(False)
        if not self.takes_answers:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        self.sock = curio.io.Socket(raw)
        if raw.connect_ex((host, int(port))) == EINPROGRESS:
            await curio.traps._write_wait(raw)
        self.opened += not raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        for piece in pieces(self.data) if self.in_pieces else [self.data]:
            await self._send(piece)
            await curio.sleep(0)
        while self.block and self.sent < self.max_bytes:
            await self._send(self.block)
            await curio.sleep(0)

    async def _send(self, data: bytes) -> None:
        await self.sock.sendall(data)
        self.sent += len(data)

    async def take(self, seconds: float) -> bytes:
        """Return what has come back, or comes within some seconds."""
        try:
            async with curio.ignore_after(seconds):
                self.received += await self.sock.recv(PIECE_BYTES)
        except OSError:
            pass
        return self.received


class Crowd:
    """Callers that run at the same time."""

    def __init__(self, callers: list[CrowdCaller]):
        self.callers = callers

    async def come(self) -> None:
        """Let all callers send; return once all have sent, or were cut off."""
        tasks = [await curio.spawn(caller.run) for caller in self.callers]
        for task in tasks:
            await task.join()

    async def leave(self) -> None:
        """Close all connections."""
        for caller in self.callers:
            await caller.reset()

    @property
    def opened(self) -> int:
        """Number of connections that were opened."""
        return sum(caller.opened for caller in self.callers)
