"""The two ways of an upload, streamed through and spooled, measured in turns in one run.

Starts a stand-in platform at the rates of the brief, one stand-in upstream and one VM for each
way, so that peak memory is of that way alone. Times are the caller's, from the first byte sent
to the answer; "direct" calls the upstream without a VM between.
"""

import hashlib
import http.client
import json
import secrets
import time
import urllib.request
from pathlib import Path
from statistics import median

import defopt

from ..store.uploads import CHUNK_SIZE, CHUNKS_PER_COMMIT
from ..tests.standins.upstream_record import read_record
from .processes import Process, Trial
from .scene import PLATFORM

MEGABYTE = 1_000_000
PIECE = 256 * 1024
QUIET = 3.0
"""Seconds over which the store's idle traffic is measured."""
DELIVERY_TIMEOUT = 60.0


class Way:
    """One way under measurement: its VM, if any, and what was measured."""

    def __init__(self, name: str, address: str, vm: Process | None = None):
        self.name = name
        self.address = address
        self.vm = vm
        self.seconds: list[float] = []
        self.delivered: list[float] = []
        self.cpu = 0.0
        self.writes = self.reads = 0.0
        self.memory_before = self.memory_after = 0.0
        self.lag = {"p99": 0.0, "max": 0.0}

    @property
    def more(self) -> float:
        """Memory in MB that the uploads took at most on top of the idle VM."""
        return self.memory_after - self.memory_before


def upload(address: str, body: bytes, key: str) -> float:
    """Send one upload and return the seconds until it was accepted."""
    connection = http.client.HTTPConnection(address, timeout=120.0)
    connection.connect()
    began = time.perf_counter()
    connection.putrequest("PUT", "/files/7", skip_host=True)
    for name, value in (
        ("Host", "lataus.example"),
        ("Sequoia-Caller", "bench"),
        ("Sequoia-Deadline-Ms", "120000"),
        ("Idempotency-Key", key),
        ("Content-Length", str(len(body))),
    ):
        connection.putheader(name, value)
    connection.endheaders()
    for start in range(0, len(body), PIECE):
        connection.send(memoryview(body)[start : start + PIECE])
    answer = connection.getresponse()
    text = answer.read()
    connection.close()
    if answer.status not in (200, 202):
        raise RuntimeError(f"{address} answered {answer.status}: {text[:200]!r}")
    return time.perf_counter() - began


def platform_counts(address: str) -> tuple[int, int]:
    """Return the writes and reads that the platform has served."""
    with urllib.request.urlopen(f"http://{address}/control", timeout=5.0) as answer:
        counts = json.load(answer)
    return counts["writes"]["passed"], counts["reads"]["passed"]


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def peak_memory(pid: int) -> float:
    """Return the most memory that a process has held, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / MEGABYTE
    return 0.0


def dump(address: str) -> dict:
    """Return the state of the spooling VM."""
    with urllib.request.urlopen(f"http://{address}/dump", timeout=5.0) as answer:
        return json.load(answer)


class Bench:
    """The processes of the benchmark and its turns."""

    def __init__(self, trial: Trial, megabytes: int, chunk: int, commit_every: int):
        self.trial = trial
        self.options = (str(chunk), str(commit_every))
        self.body = secrets.token_bytes(megabytes * MEGABYTE)
        self.digest = hashlib.sha256(self.body).hexdigest()
        platform = trial.start("platform", PLATFORM, "--address=127.0.0.1:0").wait_ready()
        self.store = platform.ready["address"]
        self.direct = Way("direct", self.upstream("direct"))
        self.stream, self.spool = self.way("stream"), self.way("spool")
        self.idle = (0.0, 0.0)

    def upstream(self, name: str) -> str:
        """Start a stand-in upstream and return its address."""
        return self.trial.upstream(name, 1, work_ms=1.0).wait_ready().ready["address"]

    def way(self, name: str) -> Way:
        """Start upstream and VM of one way."""
        arguments = (name, self.upstream(name), self.store, *self.options)
        vm = self.trial.start(
            f"vm-{name}", "sequoiabridge.benchmarks.upload_vm", *arguments
        ).wait_ready()
        return Way(name, vm.ready["address"], vm)

    def measure_idle(self) -> None:
        """Measure what the VM asks of the store without any upload."""
        before = platform_counts(self.store)
        time.sleep(QUIET)
        after = platform_counts(self.store)
        self.idle = tuple((b - a) / QUIET for a, b in zip(before, after, strict=True))

    def turn(self, way: Way, number: int) -> None:
        """Send one upload this way and wait until its upstream has it."""
        before, began = platform_counts(self.store), time.perf_counter()
        cpu = cpu_seconds(way.vm.child.pid) if way.vm else 0.0
        way.seconds.append(upload(way.address, self.body, f"{way.name}-{number}"))
        if way is self.spool:
            self.wait_delivered(len(way.delivered) + 1)
            way.delivered.append(time.perf_counter() - began)
            # The chunks of a delivered upload are removed right after.
            time.sleep(1.0)
        if way.vm is None:
            return
        passed = time.perf_counter() - began
        way.cpu += cpu_seconds(way.vm.child.pid) - cpu
        after = platform_counts(self.store)
        way.writes += after[0] - before[0] - self.idle[0] * passed
        way.reads += after[1] - before[1] - self.idle[1] * passed

    def wait_delivered(self, count: int) -> None:
        """Wait until the spooling VM has delivered `count` uploads."""
        end = time.monotonic() + DELIVERY_TIMEOUT
        while self.confirmed() < count:
            if time.monotonic() > end:
                raise RuntimeError(f"not delivered; the log ends:\n{self.spool.vm.log_tail()}")
            time.sleep(0.05)

    def confirmed(self) -> int:
        """Return how many uploads the spooling VM has delivered."""
        return dump(self.spool.address)["deliveries"]["confirmed"]

    def run(self, turns: int) -> None:
        """Take turns: direct, streamed, spooled."""
        self.measure_idle()
        for way in (self.stream, self.spool):
            way.memory_before = peak_memory(way.vm.child.pid)
        for number in range(turns):
            for way in (self.direct, self.stream, self.spool):
                self.turn(way, number)
        for way in (self.stream, self.spool):
            way.memory_after = peak_memory(way.vm.child.pid)
            way.lag = dump(way.address)["lag"]

    def whole(self) -> int:
        """Return how many uploads the upstreams have got whole, each counted once."""
        runs = [run for path in self.trial.record_files() for run in read_record(str(path))]
        return sum(run.digest == self.digest and run.status == 200 for run in runs)


def report(bench: Bench, megabytes: int, turns: int) -> None:
    """Print the table, its last line the figures of both ways."""
    per_100 = 100 / (megabytes * turns)
    print(f"{turns} uploads of {megabytes} MB each way; store idle, taken off below: ", end="")
    print(f"{bench.idle[0]:.1f} writes/s, {bench.idle[1]:.1f} reads/s")
    titles = ("MB/s", "accepted s", "delivered s", "CPU s/100", "peak MB", "MB more")
    titles += ("writes/100", "reads/100", "lag p99 ms", "lag max ms")
    print(f"{'':<8}" + "".join(f"{t:>13}" for t in titles))
    for way in (bench.direct, bench.stream, bench.spool):
        accepted = median(way.seconds)
        delivered = median(way.delivered) if way.delivered else accepted
        cells = [megabytes / accepted, accepted, delivered, way.cpu * per_100, way.memory_after]
        cells += [way.more, way.writes * per_100, way.reads * per_100]
        cells += [way.lag["p99"], way.lag["max"]]
        print(f"{way.name:<8}" + "".join(f"{cell:>13.2f}" for cell in cells))
    chunks = dump(bench.spool.address)["uploads"]["counts"]["chunks"]
    print(f"object puts per 100 MB: {chunks * per_100:.1f}")
    print(f"whole at the upstreams: {bench.whole()} of {3 * turns}")
    rates = [megabytes / median(way.seconds) for way in (bench.stream, bench.spool)]
    print(
        f"stream {rates[0]:.0f} MB/s, {bench.stream.more:.0f} MB more; "
        f"spool {rates[1]:.0f} MB/s, {bench.spool.more:.0f} MB more, "
        f"{bench.spool.writes * per_100:.0f} writes and "
        f"{bench.spool.reads * per_100:.0f} reads per 100 MB"
    )


def main(
    *,
    megabytes: int = 100,
    turns: int = 3,
    chunk: int = CHUNK_SIZE,
    commit_every: int = CHUNKS_PER_COMMIT,
) -> None:
    """Measure both ways of an upload.

    :param megabytes: size of each upload
    :param turns: uploads each way
    :param chunk: bytes of a chunk
    :param commit_every: chunks that are committed together
    """
    with Trial() as trial:
        bench = Bench(trial, megabytes, chunk, commit_every)
        bench.run(turns)
        report(bench, megabytes, turns)


if __name__ == "__main__":
    defopt.run(main)
