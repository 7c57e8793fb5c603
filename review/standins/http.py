"""Reads and writes HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio

READ_BYTES = 65536


class BrokenMessage(Exception):
    """The connection ended, or sent no HTTP, before a message was complete."""


class Message:
    """A received request or answer; `first` has the words of its first line.

    Attributes:
        complete: Whether the whole body was received.
    """

    def __init__(self, first: list[str], headers: dict[str, str]):
        self.first = first
        self.headers = headers
        self.body = b""
        self.complete = False

    @property
    def status(self) -> int:
        return int(self.first[1])

    @property
    def keeps_alive(self) -> bool:
        return "close" not in self.headers.get("connection", "").lower()


def encode(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return the bytes of a message; the headers say how its body is framed."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def chunked(body: bytes, size: int) -> bytes:
    """Return a body in chunked encoding, in chunks of `size` bytes."""
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return encoded + b"0\r\n\r\n"


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message without its body; None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessage("the head is incomplete") from error
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message, ends_with_close: bool) -> None:
    """Read the body into `message`.

    Raises:
        BrokenMessage: The connection ended before the end of the body; `message` has the part of
            the body that was received.
    """
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            await _read_chunks(reader, message)
        elif "content-length" in message.headers or not ends_with_close:
            await _read_length(reader, message, int(message.headers.get("content-length", "0")))
        else:
            while part := await reader.read(READ_BYTES):
                message.body += part
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise BrokenMessage(f"the body is incomplete: {error!r}") from error
    message.complete = True


async def _read_length(reader: asyncio.StreamReader, message: Message, length: int) -> None:
    parts = []
    left = length
    while left:
        part = await reader.read(min(left, READ_BYTES))
        if not part:
            message.body = b"".join(parts)
            raise BrokenMessage(f"{left} of {length} bytes are missing")
        parts.append(part)
        left -= len(part)
    message.body = b"".join(parts)


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    parts = []
    try:
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    finally:
        message.body = b"".join(parts)
