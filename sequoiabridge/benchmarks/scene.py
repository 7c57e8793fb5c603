"""The scene of the demo, the soak and the roll: platform, upstreams of six services, daemons.

All are processes on loopback addresses; each is started and ended by its process id.
"""

import json
import os
import secrets
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

from ..tests.standins.upstream_record import Run, read_record
from .load import Work
from .oracle import Kind
from .processes import Process, Trial, free_ports, loopback_ip

PLATFORM = "sequoiabridge.tests.platform.service"
DAEMON = "sequoiabridge.commands.daemon"
TOOL = "sequoiabridge.commands.main"
READY_TIMEOUT = 20.0
"""Seconds within which all daemons must pass their health check."""


class ServiceSpec:
    """One service of the brief: what its callers ask for, and how many upstreams it has here."""

    __slots__ = ("name", "kind", "upstreams", "work_ms", "window", "share", "size")

    def __init__(
        self,
        name: str,
        kind: Kind,
        upstreams: int,
        work_ms: float,
        window: float,
        share: float,
        size: int = 0,
    ):
        self.name = name
        self.kind = kind
        self.upstreams = upstreams
        self.work_ms = work_ms
        self.window = window
        self.share = share
        self.size = size

    @property
    def host(self) -> str:
        """The host name of its requests."""
        return f"{self.name}.example.org"

    def work(self) -> Work:
        """Return its part of a mixed load."""
        method, path, resends = {
            Kind.READ: ("GET", "/items/7?size=600", 0.0),
            Kind.APPROVAL: ("POST", "/orders/7/approve", 0.3),
            Kind.UPLOAD: ("PUT", "/files/7", 0.0),
        }[self.kind]
        return Work(self.kind, method, self.host, path, self.share, self.window, resends, self.size)


SERVICES = (
    ServiceSpec("spendview", Kind.READ, 3, 6.0, 0.5, 0.50),
    ServiceSpec("hyvaksynta", Kind.APPROVAL, 2, 8.0, 2.0, 0.10, 64),
    ServiceSpec("kirjanpito-lataus", Kind.UPLOAD, 2, 20.0, 10.0, 0.02, 300_000),
    ServiceSpec("katalog", Kind.READ, 3, 4.0, 0.25, 0.30),
    ServiceSpec("aktivera", Kind.APPROVAL, 2, 6.0, 2.0, 0.06, 64),
    ServiceSpec("mottag", Kind.UPLOAD, 2, 20.0, 10.0, 0.02, 300_000),
)

RULES = {
    Kind.READ: {"methods": "GET, HEAD", "idempotent": "yes", "hedge": "yes", "key": "ignored"},
    Kind.APPROVAL: {"methods": "POST", "idempotent": "no", "key": "required"},
    Kind.UPLOAD: {"methods": "PUT", "idempotent": "no", "upload": "spool", "max_body": "100MB"},
}


class Daemon:
    """One daemon of the scene, which may be started again with the same settings."""

    __slots__ = ("name", "callers", "admin", "fleet", "settings", "process")

    def __init__(self, name: str, callers: str, admin: str, fleet: str):
        self.name = name
        self.callers = callers
        self.admin = admin
        self.fleet = fleet
        self.settings = Path()
        self.process: Process | None = None

    @property
    def running(self) -> bool:
        """True while its process runs."""
        return self.process is not None and self.process.running()


class Scene:
    """Everything that runs in a trial."""

    def __init__(
        self,
        trial: Trial,
        daemons: int,
        balancer_lag: str = "1s",
        vm_options: dict[str, object] | None = None,
    ):
        self.trial = trial
        self.vm_options = vm_options or {}
        self.token = secrets.token_hex(16)
        self.key = secrets.token_hex(32)
        self.balancer_lag = balancer_lag
        self.platform: Process | None = None
        self.upstreams: dict[str, Process] = {}
        self.ports = free_ports(3)
        self.vms = 0
        self.daemons = [self.new_daemon(f"vm-{n + 1}") for n in range(daemons)]
        self.starts = 0

    def start(self) -> None:
        """Start platform, upstreams and daemons, apply the configuration, wait until ready."""
        vms = [f"--vm={d.name}={d.fleet}=dc-1" for d in self.daemons]
        self.platform = self.trial.start("platform", PLATFORM, "--address=127.0.0.1:0", *vms)
        for spec in SERVICES:
            for number in range(spec.upstreams):
                self.start_upstream(spec, f"{spec.name}-{number + 1}", len(self.upstreams) + 1)
        self.platform.wait_ready()
        for process in self.upstreams.values():
            process.wait_ready()
        for daemon in self.daemons:
            self.start_daemon(daemon)
        self.wait_for("/live", self.daemons)
        self.apply(self.configuration())
        self.wait_ready(self.daemons)

    def start_upstream(self, spec: ServiceSpec, name: str, seed: int, **options) -> Process:
        """Start one stand-in upstream."""
        process = self.trial.upstream(name, seed, work_ms=spec.work_ms, **options)
        self.upstreams[name] = process
        return process

    def restart_upstream(self, name: str) -> Process:
        """Start an upstream that was killed again, at the same address with an empty memory."""
        old = self.upstreams[name]
        spec = next(spec for spec in SERVICES if name.startswith(spec.name))
        self.starts += 1
        return self.start_upstream(spec, name, self.starts, address=old.ready["address"])

    def new_daemon(self, name: str) -> Daemon:
        """Return a daemon on a fresh IP; the ports are those of all, as daemons expect it."""
        ip = loopback_ip(self.vms)
        self.vms += 1
        return Daemon(name, *(f"{ip}:{port}" for port in self.ports))

    def start_daemon(self, daemon: Daemon) -> None:
        """Write the settings of a daemon and start it, or start it again."""
        others = [d.fleet for d in self.daemons if d is not daemon][:3]
        platform = self.platform.ready["address"]
        sections = {
            "vm": {"name": daemon.name, "data_centre": "dc-1", **self.vm_options},
            "callers": {"address": daemon.callers, "balancer_lag": self.balancer_lag},
            "admin": {"address": daemon.admin, "token": self.token},
            "fleet": {"address": daemon.fleet, "seeds": ", ".join(others), "key": self.key},
            "platform": {"tables": platform, "objects": platform, "list": platform},
            "log": {"level": "info"},
        }
        self.starts += 1
        daemon.settings = self.trial.write_ini(f"{daemon.name}.ini", sections)
        name = f"{daemon.name}-{self.starts}"
        daemon.process = self.trial.start(name, DAEMON, str(daemon.settings))

    def configuration(self) -> Path:
        """Write the fleet's configuration as an INI file."""
        sections: dict[str, dict[str, object]] = {}
        for spec in SERVICES:
            sections[f"service {spec.name}"] = {"hosts": spec.host, "probes_per_1000": 20}
            sections[f"pool {spec.name}"] = {"service": spec.name, "slots": 2}
            rule = {"service": spec.name, "kind": spec.kind.value, "window": f"{spec.window}s"}
            sections[f"rule {spec.name}"] = rule | RULES[spec.kind]
        for name, process in self.upstreams.items():
            pool = name.rpartition("-")[0]
            sections[f"upstream {name}"] = {"pool": pool, "address": process.ready["address"]}
        return self.trial.write_ini("fleet.ini", sections)

    def apply(self, path: Path) -> str:
        """Apply a fleet configuration through the tool; return what it printed."""
        return self.tool("apply", str(path))

    def tool(self, verb: str, *arguments: str, daemon: Daemon | None = None) -> str:
        """Run one verb of the command-line tool against a daemon."""
        target = daemon or self.daemons[0]
        command = [sys.executable, "-m", TOOL, verb, *arguments]
        command.append(f"--admin={target.admin}")
        secret = os.environ | {"SEQUOIA_TOKEN": self.token}
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, env=secret)
        if done.returncode:
            raise RuntimeError(f"{verb} exited {done.returncode}: {done.stdout}{done.stderr}")
        return done.stdout.strip()

    def wait_ready(self, daemons: list[Daemon]) -> None:
        """Wait until all of `daemons` pass their health check."""
        self.wait_for("/ready", daemons)

    def wait_for(self, path: str, daemons: list[Daemon]) -> None:
        """Wait until `path` of the admin ports of all `daemons` answers well."""
        end = time.monotonic() + READY_TIMEOUT
        while waiting := [daemon for daemon in daemons if not healthy(daemon, path)]:
            if time.monotonic() > end:
                logs = "\n".join(d.process.log_tail() for d in waiting)
                raise RuntimeError(f"not ready: {[d.name for d in waiting]}\n{logs}")
            time.sleep(0.1)

    def health(self) -> dict[str, str]:
        """Return callers' addresses and where the balancer checks the health of each."""
        return {daemon.callers: daemon.admin for daemon in self.daemons}

    def stop(self, timeout: float = 30.0) -> list[int]:
        """Stop all daemons gracefully and return their exit statuses."""
        running = [daemon.process for daemon in self.daemons if daemon.running]
        for process in running:
            process.signal(signal.SIGTERM)
        return [process.wait(timeout) for process in running]

    def runs(self) -> list[Run]:
        """Return what all upstreams ran, those that were killed included."""
        return [run for path in self.trial.record_files() for run in read_record(str(path))]


def healthy(daemon: Daemon, path: str = "/ready") -> bool:
    """Return True if a daemon passes the balancer's health check, or another one."""
    try:
        with urllib.request.urlopen(f"http://{daemon.admin}{path}", timeout=1.0) as answer:
            return answer.status == 200
    except OSError:
        return False


def control(address: str, path: str, fields: dict | None = None) -> dict:
    """Send one command to the control port of a stand-in, with JSON fields."""
    body = json.dumps(fields or {}).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=body, method="POST")
    with urllib.request.urlopen(request, timeout=5.0) as answer:
        return json.load(answer)
