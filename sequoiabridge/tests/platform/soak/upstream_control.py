"""Controls upstreams that run as processes of their own."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import curio

from ..ports import free_port
from ..upstream_emulator import UpstreamEmulator
from .proxy import Proxy


def signal_process(process: subprocess.Popen, number: int) -> None:
    """Send a signal to a process if it runs."""
    if process.poll() is None:
        os.kill(process.pid, number)


class UpstreamProcess(UpstreamEmulator):
    """Describes an upstream that runs as a process, and controls that process."""

    def __init__(self, log: Path, **more):
        super().__init__(**more)
        self.log = log
        self.process: subprocess.Popen | None = None
        self.uses_proxy = True
        self.is_restarting = False
        self.proxy: Proxy | None = None
        self.seed = more["seed"]

    async def start(self) -> None:
        """Start the process as a new lifetime of the upstream and point the proxy at it."""
        command = [sys.executable, "-m", "sequoiabridge.tests.platform.soak.upstream_process"]
        options = {
            "id": self.id,
            "service": self.service,
            "data-centre": self.data_centre,
            "log": self.log,
            # A port that the system picks may be one that another run's proxy still connects to.
            "port": free_port(),
            "seconds": self.processing_time,
            "seed": self.seed,
            "slots": self.slots,
        }
        for name, value in options.items():
            command += [f"--{name}", str(value)]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.born = int(time.time() * 1000)
        address = (await curio.run_in_thread(self.process.stdout.readline)).strip()
        if not address:
            return  # It has been killed meanwhile.
        self.proxy.target = address
        if not self.uses_proxy:
            self.address = self.proxy.target

    def set(self, **values) -> None:
        """Set faults of the upstream, or whether it is draining."""
        for name, value in values.items():
            setattr(self if name == "draining" else self.faults, name, value)
        if self.process.poll() is not None:
            return
        try:
            self.process.stdin.write(json.dumps(values) + "\n")
            self.process.stdin.flush()
        except BrokenPipeError:
            return  # It has been killed meanwhile.

    def find_target(self) -> str:
        """Return the address of the process, "" while it does not run."""
        if self.process is None or self.process.poll() is not None:
            return ""
        return self.proxy.target

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        signal_process(self.process, number)

    async def crash(self) -> None:
        """Kill the process."""
        self.kill()

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()
