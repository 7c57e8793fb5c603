"""Stand-ins for a review: the platform's store, instances and requesters, on one asyncio loop.

They speak what PROTOCOL.md says and write what they see to a record. Only the daemons under review
are processes of their own.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

# A case that is stopped from outside still ends its daemons.
signal.signal(signal.SIGTERM, signal.default_int_handler)

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "reviewed.example"

SETTINGS = """[vm]
name = {name}
data_centre = {zone}
link = 1000.0
first_start = {first}

[listen]
callers = 127.0.0.1:{front}
ready = 127.0.0.1:{ready}
fleet_ip = 127.0.0.1
fleet_ports = {first_port},{last_port}

[store]
address = {store}

[bounds]
drain = 2s
grace = 6s
retry_ratio = 0.2
retry_window = 10s
retry_slack = 62
probes_per_second = 60
"""


def free_port():
    """Return a port that is free for TCP and UDP, below those that the system picks itself."""
    while True:
        port = random.randrange(15_000, 32_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port


class Record:
    """Events with seconds since the start of the case, written to `record.txt` at the end."""

    def __init__(self, path):
        self.path = path
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def add(self, what, **fields):
        """Add one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():9.4f} {what} {text}")

    def write(self):
        """Write all lines."""
        Path(self.path).write_text("\n".join(self.lines) + "\n")


class Message:
    """A request or an answer: its first line's parts, headers in lower case, and body."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.first[1])


async def read_head(reader):
    """Return the first line and the headers; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_body(reader, headers):
    """Return a whole body that has a length or comes in chunks."""
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_message(reader):
    """Return the next message, None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        return Message(*head, await read_body(reader, head[1]))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def encode(status, headers, body=b""):
    """Return an answer's bytes."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store of rows, without disruptions."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**22)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, table, key, value):
        """Write a row, or remove it if `value` is None."""
        data = None if value is None else json.dumps(value).encode()
        self.apply([((table, "", key), data)])

    def apply(self, writes):
        """Apply a transaction."""
        self.version += 1
        for row, value in writes:
            if value is None:
                self.rows.pop(row, None)
            else:
                self.rows[row] = (value, self.version)
            self.history.append((self.version, row, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        """Serve one connection."""
        try:
            while (request := await read_message(reader)) is not None:
                url = urlsplit(request.first[1])
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                status, answer = await self.answer(url.path, query, request.body)
                answer["now_s"] = time.monotonic()
                answer.setdefault("ver", self.version)
                data = json.dumps(answer).encode()
                writer.write(encode(status, [("Content-Type", "application/json")], data))
                await writer.drain()
        except (ConnectionError, OSError):
            return
        finally:
            writer.close()

    async def answer(self, path, query, body):
        """Return the status and the body of an answer."""
        await asyncio.sleep(0.004)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        if path == "/rows-get":
            return 200, self.get(query)
        if path == "/rows-feed":
            return 200, await self.feed(query)
        return 404, {}

    def transact(self, call):
        """Apply a transaction if its conditions hold."""
        for row in call.get("expected_rev", ()):
            key = (row["table"], row.get("part", ""), row["key"])
            if self.rows.get(key, (b"", 0))[1] != row["ver"]:
                return 412, {"rows": []}
        writes = [
            ((w["table"], w.get("part", ""), w["key"]), base64.b64decode(w["value"]))
            for w in call.get("puts", ())
        ]
        for w in call.get("remove", ()):
            writes.append(((w["table"], w.get("part", ""), w["key"]), None))
        self.apply(writes)
        return 200, {}

    def get(self, query):
        """Return the rows of a part."""
        start, end = query.get("from", ""), query.get("target", "\U0010ffff")
        found = sorted(
            row
            for row in self.rows
            if row[:2] == (query["table"], query.get("part", "")) and start <= row[2] < end
        )
        limit = int(query.get("limit", 500))
        rows = [encode_row(row, *self.rows[row]) for row in found[:limit]]
        return {"rows": rows, "has_more": len(found) > limit}

    async def feed(self, query):
        """Return the changes after a version as soon as there is one."""
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            rows = [
                encode_row(row, value, version)
                for version, row, value in self.history
                if version > after and row[0] == table
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, "ver": self.version}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass


def encode_row(row, value, version):
    """Return a row as the store writes it."""
    fields = {"table": row[0], "part": row[1], "key": row[2], "ver": version}
    if value is None:
        return {**fields, "removed": True}
    return {**fields, "value": base64.b64encode(value).decode()}


class Instance:
    """A sound instance: slots, a short queue, health probes; subclasses add one disruption.

    Attributes:
        work_s: Seconds of work of a request.
        tells_load: Whether its answers have X-Instance-Load.
        runs: Ids of the requests that it began to work on, with their times.
    """

    def __init__(self, record, id, service, zone="zone-a", work_s=0.08, slots=2, queue=4):
        self.record = record
        self.id = id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.tells_load = True
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []
        self.probes = 0
        self.address = ""
        self.state = "ready"
        self.born = int(time.time() * 1000)

    def entry(self):
        """Return its entry in the platform's store."""
        return {
            "born": self.born,
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "sequence": 1, "cold_remaining_s": 0},
        }

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=2**20)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        """Serve one connection, one request at a time."""
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_message(reader)) is not None:
                await self.handle(request, writer, reader)
        except (ConnectionError, OSError):
            return
        finally:
            writer.close()

    async def handle(self, request, writer, reader):
        """Answer one request."""
        if request.first[1] == "/health":
            self.probes += 1
            await self.health(request, writer)
            return
        call = request.headers.get("x-attempt-id", "")
        if request.headers.get("x-expect-instance") != self.id:
            await self.send(request, writer, 421, [("X-Instance-Id", self.id)])
            return
        if self.is_full():
            self.record.add("rejects", instance=self.id, id=call)
            await self.send(request, writer, 503, [("X-Not-Executed", "1")])
            return
        await self.take_slot()
        try:
            self.runs.append((call, self.record.now()))
            self.record.add("runs", instance=self.id, id=call)
            await self.work(request)
        finally:
            self.give_slot()
        body = f"{self.id} {call} {len(request.body)}".encode()
        await self.send(request, writer, 200, [("X-Server-Signature", "s." + call)], body)

    async def work(self, request):
        """Work on a request."""
        await asyncio.sleep(self.work_s)

    async def health(self, request, writer):
        """Answer a health probe; it waits for a slot unless the service tells its load."""
        if not self.tells_load:
            if self.is_full():
                await self.send(request, writer, 503, [("X-Not-Executed", "1")])
                return
            await self.take_slot()
            self.give_slot()
        await self.send(request, writer, 200, [("X-Instance-Id", self.id)])

    def is_full(self):
        """Return whether another request finds no place in the queue."""
        return self.running + self.waiting >= self.slots + self.queue

    async def take_slot(self):
        """Wait for a slot in the queue."""
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1

    def give_slot(self):
        """Free the slot."""
        self.running -= 1
        self.free.release()

    async def send(self, request, writer, status, headers, body=b""):
        """Send an answer with the headers that all answers have."""
        headers = list(headers)
        if "x-attempt-id" in request.headers:
            headers.append(("X-Attempt-Id", request.headers["x-attempt-id"]))
        if self.tells_load:
            load = f"{self.running},{self.waiting},{self.slots},100"
            headers.append(("X-Instance-Load", load))
        data = encode(status, headers, body)
        writer.write(data)
        await writer.drain()
        self.sent(request, writer, status, data)

    def sent(self, request, writer, status, data):
        """Called after each answer."""


class Daemon:
    """One daemon under review, started with the command of the deploy file."""

    def __init__(self, folder, name, store, zone="zone-a", first=True):
        self.name = name
        self.zone = zone
        self.front, self.ready = free_port(), free_port()
        self.first_port, self.last_port = free_port(), free_port()
        self.settings = Path(folder) / f"{name}.ini"
        self.log = Path(folder) / f"{name}.log"
        self.write_settings(store, zone, first)
        self.process = None

    def write_settings(self, store, zone, first):
        """Write the settings as the platform renders them from the template."""
        text = SETTINGS.format(
            name=self.name,
            zone=zone,
            first=str(first).lower(),
            front=self.front,
            ready=self.ready,
            first_port=self.first_port,
            last_port=self.last_port,
            store=store,
        )
        self.settings.write_text(text)

    def start(self, unread_stderr=False):
        """Start the process; its output goes to a file, its errors too or to a pipe unread."""
        deploy = (REPOSITORY / "deploy" / "system.toml").read_text()
        run = next(line for line in deploy.splitlines() if line.startswith("run = "))
        words = run.partition('"')[2].rstrip('"').split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["SEQUOIABRIDGE_CONFIG"] = str(self.settings)
        with open(self.log, "ab") as log:
            errors = subprocess.PIPE if unread_stderr else log
            self.process = subprocess.Popen(
                words, cwd=REPOSITORY, env=environment, stdout=log, stderr=errors
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Ask for readiness as the platform does."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, seconds=15.0):
        """Wait until the daemon is ready; return whether it is."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


class Requester:
    """Makes requests, each on a kept connection of a small pool, and records the answers."""

    def __init__(self, record, port):
        self.record = record
        self.port = port
        self.idle = []
        self.answers = {}

    async def call(self, id, path, method="POST", body=b"x", deadline_ms=1000, at=""):
        """Make one request; return its status, 0 without an answer."""
        self.record.add("sent", id=id, path=path, at=at)
        status, why, reader, writer = 0, "", None, None
        try:
            if self.idle:
                reader, writer = self.idle.pop()
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
            )
            writer.write(head.encode() + (body if method == "POST" else b""))
            answer = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + 0.5)
            if answer is not None:
                status = answer.status
                why = answer.body[:90].decode("latin-1").strip() if status != 200 else ""
        except asyncio.CancelledError:  # The requester leaves.
            if writer is not None:
                writer.close()
            raise
        except (OSError, TimeoutError) as error:
            why = repr(error)
        if status and answer.headers.get("connection") != "close":
            self.idle.append((reader, writer))
        elif writer is not None:
            writer.close()
        self.answers[id] = status
        self.record.add("answered", id=id, status=status, why=why.replace(" ", "_"))
        return status


def route(prefix, kind, service, **more):
    """Return a route of a desired state."""
    return {
        "name": prefix.strip("/"),
        "prefix": prefix,
        "route_type": kind,
        "timeout_s": 1.0,
        "target_latency_s": 0.3,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **more,
    }


def desired_state(routes, services, version=1, **limits):
    """Return a desired state."""
    return {
        "version": version,
        "services": [
            {"name": name, "health_check_path": "/health", "max_connections": 220}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 8_000_000,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
            **limits,
        },
        "virtual_hosts": [{"hostname": HOST, "paths": routes}],
    }


def has_trouble():
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def finish(verdict, text):
    """Print the result and end with its exit code."""
    print(text, flush=True)
    os._exit(verdict)
