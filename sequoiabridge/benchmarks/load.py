"""Load tool: callers that send mixed work at a given rate, whether or not answers come (open loop).

Each call goes to an entry VM that passes its health check, as the platform's balancer would do.
"""

import time
from random import Random

import curio
import defopt

from .calls import Call, Caller
from .oracle import Kind, Told

PERCENTILES = (50.0, 99.0, 99.9)
HEALTH_INTERVAL = 0.25
"""Seconds between two health checks of an entry VM."""


class Work:
    """One kind of work in the mix: `share` of all calls, answered in time within `window`."""

    __slots__ = ("kind", "method", "host", "path", "share", "window", "resends", "size")

    def __init__(
        self,
        kind: Kind,
        method: str,
        host: str,
        path: str,
        share: float,
        window: float,
        resends: float = 0.0,
        size: int = 0,
    ):
        self.kind = kind
        self.method = method
        self.host = host
        self.path = path
        self.share = share
        self.window = window
        self.resends = resends
        self.size = size


class Entries:
    """The entry VMs as the platform's balancer sees them.

    `health` maps an entry's address to the address of its health check ("IP:port"), or to "".
    """

    def __init__(self, health: dict[str, str], seed: int = 1, path: str = "/ready"):
        self.health = dict(health)
        self.path = path
        self.healthy = list(health)
        self.random = Random(seed)

    def pick(self) -> str | None:
        """Return one healthy entry, or None."""
        return self.random.choice(self.healthy) if self.healthy else None

    async def check(self) -> None:
        """Check all entries for ever; run as a task."""
        while True:
            async with curio.TaskGroup() as group:
                for entry, place in list(self.health.items()):
                    await group.spawn(self.check_one, entry, place)
            await curio.sleep(HEALTH_INTERVAL)

    async def check_one(self, entry: str, place: str) -> None:
        """Check one entry, and send it callers from now on or no more."""
        ready = await self.ok(place)
        if ready and entry not in self.healthy:
            self.healthy.append(entry)
        if not ready and entry in self.healthy:
            self.healthy.remove(entry)

    async def ok(self, place: str) -> bool:
        """Return True if the health check at `place` says that the VM is ready."""
        if not place:
            return True
        caller = Caller(patience=1.0)
        told = await caller.call(place, Call(Kind.READ, "GET", "health", self.path, "", ""))
        await caller.close()
        return told.status == 200


class Load:
    """Sends the mix and keeps what every caller was told."""

    def __init__(self, entries: Entries, mix: list[Work], seed: int, patience: float = 30.0):
        self.entries = entries
        self.mix = mix
        self.random = Random(seed)
        self.name = f"s{seed}"
        self.caller = Caller(patience)
        self.told: list[Told] = []
        self.count = 0
        self.stopped = False

    async def run(self, rate: float, seconds: float) -> None:
        """Send `rate` pieces of work a second for `seconds`, or until `stopped` is set."""
        start = due = time.monotonic()
        async with curio.TaskGroup() as group:
            while due < start + seconds and not self.stopped:
                await curio.sleep(max(0.0, due - time.monotonic()))
                await group.spawn(self.one)
                due += self.random.expovariate(rate)

    async def one(self) -> None:
        """Do one piece of work, and send it again as its kind does."""
        work = self.random.choices(self.mix, [work.share for work in self.mix])[0]
        self.count += 1
        nonce = f"{self.name}-{self.count}"
        body = self.random.randbytes(work.size)
        key = f"key-{nonce}" if work.kind is Kind.APPROVAL else ""
        resend = self.random.random() < work.resends
        await self.send(work, nonce, 1, key, body)
        if resend:
            await self.send(work, nonce, 2, key, body)

    async def send(self, work: Work, nonce: str, number: int, key: str, body: bytes) -> Told | None:
        """Send one piece of work once."""
        entry = self.entries.pick()
        if entry is None:
            await curio.sleep(HEALTH_INTERVAL)
            entry = self.entries.pick()
        if entry is None:
            return None
        attempt, caller = f"{nonce}.{number}", f"caller-{len(nonce) % 7}"
        call = Call(work.kind, work.method, work.host, work.path, nonce, attempt, caller, key, body)
        told = await self.caller.call(entry, call, work.window)
        self.told.append(told)
        return told


class Summary:
    """The figures of a load; latencies in milliseconds over all good answers."""

    def __init__(self, all_told: list[Told]):
        good = [told for told in all_told if told.good]
        times = sorted((told.ended - told.began) * 1000 for told in good)
        self.sent = len(all_told)
        self.good = len(good)
        in_time = sum(t.ended - t.began <= t.window for t in good if t.window)
        self.in_window = in_time / max(1, len(all_told))
        self.not_run = sum(told.outcome == "not-run" for told in all_told)
        self.unknown = sum(told.outcome == "unknown" for told in all_told)
        self.cut_off = sum(not told.whole for told in all_told)
        self.percentiles = [percentile(times, p) for p in PERCENTILES]

    def __str__(self) -> str:
        p50, p99, p999 = self.percentiles
        return (
            f"sent {self.sent}, good {self.good}, in window {self.in_window:.2%}, "
            f"p50 {p50:.1f} p99 {p99:.1f} p99.9 {p999:.1f} ms, not-run {self.not_run}, "
            f"unknown {self.unknown}, cut off {self.cut_off}"
        )


def percentile(ordered: list[float], share: float) -> float:
    """Return the value at `share` percent of a sorted list; 0 for an empty one."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share / 100))]


def main(
    entries: list[str],
    *,
    rate: float = 100.0,
    seconds: float = 10.0,
    host: str = "upstream",
    path: str = "/",
    window_ms: float = 250.0,
    approvals: float = 0.0,
    uploads: float = 0.0,
    size: int = 20_000,
    seed: int = 1,
) -> None:
    """Send a load and print its figures.

    :param entries: Addresses ("IP:port") to send to, taken in turns at random.
    :param rate: Calls a second.
    :param seconds: Length of the load.
    :param host: Host header of all calls.
    :param path: Path of all calls.
    :param window_ms: Window within which an answer counts as in time.
    :param approvals: Share of calls that carry a key and may run once only.
    :param uploads: Share of calls that are uploads of `size` bytes.
    :param size: Bytes of an upload.
    :param seed: Seed of all random draws.
    """
    window = window_ms / 1000
    mix = [
        Work(Kind.READ, "GET", host, path, 1 - approvals - uploads, window),
        Work(Kind.APPROVAL, "POST", host, path, approvals, window, resends=0.3, size=64),
        Work(Kind.UPLOAD, "PUT", host, path, uploads, 10 * window, size=size),
    ]
    load = Load(Entries(dict.fromkeys(entries, "")), mix, seed)
    curio.run(load.run, rate, seconds)
    print(Summary(load.told))


if __name__ == "__main__":
    defopt.run(main)
