"""Starts and ends the processes of a trial, each by its own process id, and writes their settings.

A process that serves prints its address, or a JSON line of them, once it is ready.
"""

import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from configparser import ConfigParser
from pathlib import Path

import msgspec

PORTS = (20_000, 32_000)
"""Ports that a trial's processes listen on."""

READY_TIMEOUT = 20.0
"""Seconds within which a process must have printed its line."""


class Process:
    """One process of a trial; `ready` is the JSON line that it printed, decoded."""

    def __init__(self, name: str, arguments: list[str], folder: Path):
        self.name = name
        self.arguments = arguments
        self.folder = folder
        self.ready: dict = {}
        self.child: subprocess.Popen | None = None

    @property
    def log(self) -> Path:
        """The file that takes its standard error."""
        return self.folder / f"{self.name}.log"

    @property
    def out(self) -> Path:
        """The file that takes its standard output."""
        return self.folder / f"{self.name}.out"

    def start(self) -> "Process":
        """Start it, without waiting until it is ready."""
        with open(self.log, "ab") as log, open(self.out, "wb") as out:
            self.child = subprocess.Popen(
                [sys.executable, "-m", *self.arguments], stdout=out, stderr=log
            )
        return self

    def wait_ready(self) -> "Process":
        """Wait for its line of addresses."""
        end = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < end:
            first = self.out.read_bytes().partition(b"\n")
            if first[1]:
                self.ready = read_ready(first[0])
                return self
            if self.child.poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} did not start; its log ends:\n{self.log_tail()}")

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal if it still runs."""
        if self.running():
            self.child.send_signal(number)

    def running(self) -> bool:
        """True if it was started and has not ended."""
        return self.child is not None and self.child.poll() is None

    def wait(self, timeout: float) -> int:
        """Wait for its end and return its exit status; a failure's log is shown."""
        status = self.child.wait(timeout)
        if status > 0:
            print(f"{self.name} exited {status}; its log ends:\n{self.log_tail()}", flush=True)
        return status

    def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def log_tail(self, lines: int = 15) -> str:
        """Return the last lines of its log."""
        if not self.log.exists():
            return ""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])


class Trial:
    """All processes of one trial and the folder with their settings and logs; a context manager."""

    def __init__(self):
        self.temporary = tempfile.TemporaryDirectory(prefix="sequoiabridge-")
        self.folder = Path(self.temporary.name)
        self.processes: list[Process] = []
        self.count = 0

    def __enter__(self) -> "Trial":
        return self

    def __exit__(self, *exception) -> None:
        for process in self.processes:
            process.kill()
        self.temporary.cleanup()

    def start(self, name: str, *arguments: str) -> Process:
        """Start `python -m ARGUMENTS` as a process of the trial."""
        process = Process(name, list(arguments), self.folder)
        self.processes.append(process)
        return process.start()

    def upstream(self, name: str, seed: int, **options) -> Process:
        """Start a stand-in upstream; `options` are those of its command line."""
        record = str(self.folder / f"{name}.record")
        self.count += 1
        module = "sequoiabridge.tests.standins.upstream"
        more = [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        return self.start(
            f"{name}.{self.count}",
            module,
            f"--name={name}",
            f"--seed={seed}",
            f"--record={record}",
            *more,
        )

    def record_files(self) -> list[Path]:
        """Return the record files of all stand-in upstreams."""
        return sorted(self.folder.glob("*.record"))

    def write_ini(self, name: str, sections: dict[str, dict[str, object]]) -> Path:
        """Write an INI file into the trial's folder."""
        parser = ConfigParser(interpolation=None)
        for section, options in sections.items():
            parser[section] = {key: str(value) for key, value in options.items()}
        path = self.folder / name
        with open(path, "w", encoding="utf-8") as file:
            parser.write(file)
        return path


def read_ready(line: bytes) -> dict:
    """Return the addresses that a process printed: a JSON map, or its address alone."""
    if line.startswith(b"{"):
        return msgspec.json.decode(line)
    return {"address": line.decode().strip()}


def free_ports(count: int) -> list[int]:
    """Return `count` ports that were free a moment ago on all addresses of this computer.

    They are below those that the kernel gives to outgoing connections: one of those may take a
    port between this look and the start of the process that wants it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("0.0.0.0", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def loopback_ip(number: int) -> str:
    """Return the IP of a trial's VM, counted from 0: each has its own on the loopback device."""
    return f"127.0.{9 + number // 250}.{1 + number % 250}"
