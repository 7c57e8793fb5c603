"""Stand-in of an instance, as a process: `python3 instance.py SETTINGS` with SETTINGS in JSON.

Lines in JSON on its standard input change its settings; it ends with that input. It runs `slots`
requests at a time and queues `queue` more, says so in `X-Instance-Load`, answers its health path at
once, obeys `X-Expect-Instance` and `X-Deadline-Ms`, and drops a request whose connection closes. It
prints its address, then a line in JSON for each thing that happens.

A path may say how long the work takes and how long the answer is: `?work=SECONDS&size=BYTES`.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import socket
import struct
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

if __package__ in (None, ""):
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.http import BrokenMessage, Message, encode, read_body, read_head

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Instance:
    """One instance.

    Settings:
        id, service, slots, queue, work: Its identity and capacity; work in seconds.
        seed: Seed of its random choices.
        reset_share: Share of new connections that it resets, having read nothing.
        reset_within: Seconds within which it does so.
        hang_share: Share of its answers, once their head and half of their body are sent, that it
            never ends.
    """

    def __init__(self, settings: dict):
        self.id = settings["id"]
        self.slots = settings.get("slots", 2)
        self.queue = settings.get("queue", 8)
        self.work = settings.get("work", 0.02)
        self.reset_share = settings.get("reset_share", 0.0)
        self.reset_within = settings.get("reset_within", 0.003)
        self.hang_share = settings.get("hang_share", 0.0)
        self.random = random.Random(settings.get("seed", 1))
        self.running = 0
        self.waiting = 0
        self.free_slots = asyncio.Semaphore(self.slots)
        self.connections: set[asyncio.Task] = set()

    def record(self, event: str, **fields: object) -> None:
        """Print what happens."""
        line = {"at": time.monotonic(), "instance": self.id, "event": event, **fields}
        print(json.dumps(line), flush=True)

    async def run(self) -> None:
        """Serve until the process ends."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(512)
        listener.setblocking(False)
        print("{}:{}".format(*listener.getsockname()), flush=True)
        loop = asyncio.get_running_loop()
        loop.add_reader(listener, self._accept, listener)
        commands = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
        while line := await commands.readline():
            vars(self).update(json.loads(line))
            self.record("set", **json.loads(line))

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return
        if self.random.random() < self.reset_share:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            delay = self.random.uniform(0.0, self.reset_within)
            asyncio.get_running_loop().call_later(delay, sock.close)
            self.record("reset")
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = asyncio.get_running_loop().create_task(self._serve(sock))
        self.connections.add(task)
        task.add_done_callback(self.connections.discard)

    async def _serve(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            while (request := await read_head(reader)) is not None:
                await self._handle(reader, writer, request)
        except (BrokenMessage, OSError):
            pass
        finally:
            writer.close()

    async def _handle(self, reader, writer, request: Message) -> None:
        url = urlsplit(request.first[1])
        if url.path == "/health":
            headers = [("X-Instance-Id", self.id), ("X-Instance-Load", self._load())]
            await self._send(writer, 200, headers, b"")
            return
        attempt = request.headers.get("x-attempt-id", "")
        try:
            await read_body(reader, request, False)
        except BrokenMessage as error:
            self.record("incomplete", attempt=attempt, why=str(error), bytes=len(request.body))
            raise
        answer = [("X-Attempt-Id", attempt), ("X-Instance-Load", self._load())]
        if request.headers.get("x-expect-instance", self.id) != self.id:
            await self._send(writer, 421, [("X-Instance-Id", self.id), *answer], b"")
            return
        if self.running + self.waiting >= self.slots + self.queue:
            await self._send(writer, 503, [("X-Not-Executed", "1"), *answer], b"")
            return
        await self._run(reader, writer, request, parse_qs(url.query))

    async def _run(self, reader, writer, request: Message, query: dict) -> None:
        attempt = request.headers.get("x-attempt-id", "")
        deadline = time.monotonic() + int(request.headers.get("x-deadline-ms", "60000")) / 1000
        self.waiting += 1
        try:
            await self.free_slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            digest = hashlib.sha256(request.body).hexdigest()
            self.record(
                "run",
                attempt=attempt,
                method=request.first[0],
                target=request.first[1],
                bytes=len(request.body),
                sha256=digest,
            )
            work = float(query.get("work", [self.work])[0])
            if not await self._work(reader, min(work, max(0.0, deadline - time.monotonic()))):
                self.record("dropped", attempt=attempt)
                raise BrokenMessage("the connection closed")
        finally:
            self.running -= 1
            self.free_slots.release()
        size = int(query.get("size", ["0"])[0])
        body = f"{self.id} {attempt} {len(request.body)} {digest}\n".encode().ljust(size, b".")
        await self._reply(reader, writer, attempt, body, time.monotonic() >= deadline)

    async def _reply(self, reader, writer, attempt: str, body: bytes, is_late: bool) -> None:
        status = 504 if is_late else 200
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Server-Signature", hashlib.sha256(body).hexdigest()),
            ("X-Instance-Load", self._load()),
        ]
        if self.random.random() < self.hang_share:
            length = [("Content-Length", str(len(body)))]
            writer.write(encode(f"HTTP/1.1 {status} -", headers + length, body[: len(body) // 2]))
            self.record("hangs", attempt=attempt)
            while not reader.at_eof() and reader.exception() is None:
                await asyncio.sleep(0.05)
            raise BrokenMessage("the connection closed")
        await self._send(writer, status, headers, body)
        self.record("answered", attempt=attempt, status=status)

    async def _work(self, reader, seconds: float) -> bool:
        """Work for some seconds; return False if the connection closed meanwhile."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            if reader.at_eof() or reader.exception() is not None:
                return False
            await asyncio.sleep(min(left, 0.02))
        return True

    async def _send(self, writer, status: int, headers: list, body: bytes) -> None:
        length = [("Content-Length", str(len(body)))]
        writer.write(encode(f"HTTP/1.1 {status} -", headers + length, body))
        await writer.drain()

    def _load(self) -> str:
        return f"{self.running},{self.waiting},{self.slots},100"


if __name__ == "__main__":
    asyncio.run(Instance(json.loads(sys.argv[1])).run())
