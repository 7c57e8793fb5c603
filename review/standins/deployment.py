"""Starts a small deployment: a store, instances and daemons, and clients that send requests."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from .http import BrokenMessage, Message, encode, read_body, read_head
from .store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
INSTANCE = Path(__file__).resolve().parent / "instance.py"
READY_SECONDS = 25.0
CASE_SECONDS = 100.0
SHOWN_LINES = 12

SETTINGS = """[vm]
name = {name}
data_centre = {zone}
link = 1000.0
first_start = true
[listen]
callers = 127.0.0.1:{front}
ready = 127.0.0.1:{ready}
fleet_ip = 127.0.0.1
fleet_ports = {first},{last}
[store]
address = {store}
[bounds]
drain = 2s
grace = {grace}s
retry_ratio = 0.2
retry_window = 10s
retry_slack = 56
probes_per_second = 60
"""
"""What settings.template makes of the fields of a small site (kh-spend's bounds)."""


class CannotRun(Exception):
    """The deployment did not start."""


class Daemon:
    """One daemon of the system, run by the command of the deploy file."""

    def __init__(self, name: str, folder: Path, store: str, grace: int):
        self.name = name
        self.grace = grace
        self.front, self.ready, first, last = free_ports(4)
        self.settings = folder / f"{name}.ini"
        text = SETTINGS.format(
            name=name,
            zone="zone-a",
            front=self.front,
            ready=self.ready,
            first=first,
            last=last,
            store=store,
            grace=grace,
        )
        self.settings.write_text(text)
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["SEQUOIABRIDGE_CONFIG"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, cwd=ROOT, env=env
            )

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            try:
                writer.write(encode("GET /ready HTTP/1.1", [("Host", "ready")]))
                head = await read_head(reader)
            finally:
                writer.close()
        except (OSError, BrokenMessage):
            return False
        return head is not None and head.status == 200

    def terminate(self) -> float:
        """Send SIGTERM, and SIGKILL when the grace time is over; return the time of SIGTERM."""
        self.process.send_signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(self.grace, self.kill)
        return time.monotonic()

    def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                return  # It has just ended.


class InstanceProcess:
    """One instance as a process."""

    def __init__(self, settings: dict, events: list[dict]):
        self.settings = settings
        self.events = events
        self.born = int(time.time() * 1000)
        self.address = ""
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(INSTANCE),
            json.dumps(self.settings),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = (await self.process.stdout.readline()).decode().strip()
        asyncio.get_running_loop().create_task(self._follow())

    async def _follow(self) -> None:
        while line := await self.process.stdout.readline():
            self.events.append(json.loads(line))

    async def set(self, **settings: float) -> None:
        """Change settings of the instance."""
        self.process.stdin.write(json.dumps(settings).encode() + b"\n")
        await self.process.stdin.drain()

    def entry(self) -> dict:
        """Return its entry in the store."""
        info = {"service": self.settings["service"], "version": "v1", "zone": "zone-a"}
        info["slots"] = self.settings.get("slots", 2)
        status = {"state": "ready", "sequence": 1, "cold_remaining_s": 0}
        return {"address": self.address, "born": self.born, "info": info, "status": status}


class Deployment:
    """The deployment; `close` ends all processes.

    Attributes:
        events: What the instances did, in the order in which it was read.
    """

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store()
        self.daemons: list[Daemon] = []
        self.instances: list[InstanceProcess] = []
        self.events: list[dict] = []

    async def start(self, daemons: int, instances: list[dict], config: dict, grace: int) -> None:
        """Start everything, and wait until all daemons are ready.

        Raises:
            CannotRun: They are not ready in time.
        """
        await self.store.start()
        self.store.put("op", "config", config)
        for settings in instances:
            instance = InstanceProcess(settings, self.events)
            self.instances.append(instance)
            await instance.start()
            self.store.put("servers", settings["id"], instance.entry())
        for number in range(daemons):
            daemon = Daemon(f"edge-{number}", Path(self.folder.name), self.store.address, grace)
            self.daemons.append(daemon)
            await daemon.start()
        end = time.monotonic() + READY_SECONDS
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > end or daemon.process.returncode is not None:
                    raise CannotRun(
                        f"{daemon.name} is not ready:\n{daemon.log.read_text()[-2000:]}"
                    )
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            daemon.kill()
        for instance in self.instances:
            if instance.process is not None and instance.process.returncode is None:
                instance.process.kill()
        for part in (*self.daemons, *self.instances):
            if part.process is not None:
                await part.process.wait()
        await self.store.close()
        self.folder.cleanup()


class Client:
    """A requester's connection to a daemon."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, daemon: Daemon) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", daemon.front))

    async def send(self, data: bytes) -> None:
        """Send the bytes of a request."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self) -> Message | None:
        """Return the answer, complete or not; None if the connection ended without one."""
        try:
            answer = await read_head(self.reader)
            if answer is None:
                return None
        except (BrokenMessage, OSError):
            return None
        try:
            await read_body(self.reader, answer, True)
        except BrokenMessage:
            pass  # The answer is marked as not complete.
        return answer

    def close(self) -> None:
        self.writer.close()


def route(prefix: str, route_type: str, service: str, timeout: float, target: float) -> dict:
    """Return a route of the desired state."""
    return {
        "name": prefix.strip("/"),
        "prefix": prefix,
        "route_type": route_type,
        "timeout_s": timeout,
        "target_latency_s": target,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def desired_state(host: str, routes: list[dict]) -> dict:
    """Return a desired state with the limits of the users' sites."""
    services = sorted({one["service"] for one in routes})
    return {
        "version": 7,
        "services": [
            {"name": name, "health_check_path": "/health", "max_connections": 220}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "virtual_hosts": [{"hostname": host, "paths": routes}],
    }


def event_line(event: dict) -> str:
    """Return what an instance did in one line; `at` is in seconds on the monotonic clock."""
    known = ("attempt", "bytes", "status", "why")
    details = [f"{name}={event[name]}" for name in known if event.get(name)]
    return " ".join([f"{event['at']:.3f}", event["instance"], event["event"], *details])


async def run_case(play, folder: Path) -> int:
    """Play a case; return 1 if its rule was broken, 0 if it held, 2 if it could not run.

    Args:
        play: Coroutine function that takes the deployment and whether there is a disruption, and
            returns whether the rule was broken and the lines of the record.
        folder: Folder of the case, for `record.txt`.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment()
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        broken, lines = await asyncio.wait_for(play(deployment, trouble), CASE_SECONDS)
    except (Exception, asyncio.CancelledError) as error:
        print(f"The case could not run: {error!r}", file=sys.stderr)
        return 2
    finally:
        await deployment.close()
    verdict = f"disruption: {trouble}; the rule was {'broken' if broken else 'kept'}"
    (folder / "record.txt").write_text("\n".join([verdict, *lines]) + "\n")
    print("\n".join([verdict, *lines[:SHOWN_LINES]]))
    return int(broken)


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()
