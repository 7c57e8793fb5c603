"""Fakes of the interfaces that the operators' code uses."""

import curio
from expression import Error, Ok

from ...config.loading import parse_document
from ...exceptions import ConflictError
from ...metrics import Metrics
from ...operators.admin import AdminLimits, AdminServer
from ...operators.bases import ConfigurationRepository, Readiness, Releaser, RowSource
from ...operators.dump import StateDump
from ...operators.errors import NotFound
from ...operators.executor import Executor
from ...operators.fetch import fetch
from ...operators.gather import Gatherer
from ...operators.journal import Journal
from ...operators.routes import AdminRoutes
from ...operators.rows import UpstreamRow
from ...store.claim_admin import ClaimNotReleased
from ...timers import ManualClock

TOKEN = "a-token-for-operators"

CONFIGURATION = """
[service spendview]

[pool pool-a]
service = spendview
slots = 2

[upstream a1]
pool = pool-a
address = 10.0.0.1:80

[rule reads]
service = spendview
path = /dashboards/*
idempotent = yes
"""


class FakeRowSource(RowSource):
    """Returns the same rows for every subject."""

    def __init__(self, rows):
        self.all_rows = rows

    async def rows(self, subject, of):
        return Ok(self.all_rows)


class FakeConfigurationRepository(ConfigurationRepository):
    """Stores all versions in memory; this VM has not received the latest `lag` versions."""

    def __init__(self):
        first = parse_document(CONFIGURATION).default_with(lambda problems: problems)
        self.documents = {1: first}
        self.lag = 0
        self.in_force = (3, 3)

    def document(self):
        return self.documents[max(self.documents) - self.lag]

    async def at_version(self, version):
        found = self.documents.get(version)
        return Ok(found) if found else Error(NotFound(f"Version {version} is not kept."))

    async def propose(self, change, author, expect):
        newest = self.documents[max(self.documents)]
        if expect != newest.version:
            return Error(ConflictError(f"{newest.author} set version {newest.version}."))
        changed = newest.with_change(change, newest.version + 1, author, 1_700_000_000.0)
        return changed.map(self._keep)

    def count_in_force(self, version):
        return self.in_force

    def _keep(self, document):
        self.documents[document.version] = document
        return document.version


class FakeReleaser(Releaser):
    """Has one claim that can be released and one that cannot be released yet."""

    def __init__(self):
        self.released = []

    async def describe(self, kind, name):
        if name == "claim-2":
            return Error(ClaimNotReleased("Its holder may still send; release it in 9 s."))
        return Ok("Held.") if name == "claim-1" else Error(NotFound(f"There is no {name}."))

    async def release(self, kind, name, author):
        self.released.append((kind, name, author))
        return await self.describe(kind, name)


class FakeReadiness(Readiness):
    """Returns `state`."""

    def __init__(self):
        self.state = (True, "It serves callers.")

    def check(self):
        return self.state


class FakeDaemon:
    """The admin port and executor of a daemon, with fakes behind them."""

    def __init__(self, vm="vm1", peers=(), components=(), get=fetch, **limits):
        self.clock = ManualClock()
        self.configuration = FakeConfigurationRepository()
        self.releaser = FakeReleaser()
        self.readiness = FakeReadiness()
        self.journal = Journal(self.clock, vm)
        rows = [UpstreamRow("a1", vm, "spendview", in_flight=2), UpstreamRow("a2", vm, "mottag")]
        self.executor = Executor(
            vm,
            self.clock,
            FakeRowSource(rows),
            self.configuration,
            self.releaser,
            self.journal,
            Gatherer(lambda: list(peers), TOKEN, get=get),
        )
        dump = StateDump(vm, lambda: list(components), [TOKEN])
        routes = AdminRoutes(TOKEN, self.readiness, Metrics(), dump, self.executor)
        self.server = AdminServer("127.0.0.1:0", routes, AdminLimits(**limits))

    def execute(self, text):
        """Run a command without HTTP; return the reply or the error."""
        result = curio.run(self.executor.execute(text, "anna"))
        return result.ok if result.is_ok() else result.error

    async def __aenter__(self):
        await self.server.bind()
        self.task = await curio.spawn(self.server.run())
        return self

    async def __aexit__(self, *exc):
        await self.task.cancel()


async def exchange(address, data, until_closed=True):
    """Send bytes; return everything received until the connection closes, or the first read."""
    host, port = address.split(":")
    sock = await curio.open_connection(host, int(port))
    async with sock:
        await sock.sendall(data)
        answer = await sock.recv(65536)
        while until_closed and (piece := await sock.recv(65536)):
            answer += piece
        return answer


def request(method, target, body=b"", token=TOKEN, extra=""):
    """Return the bytes of a request that closes its connection."""
    auth = f"Authorization: Bearer {token}\r\n" if token else ""
    head = f"{method} {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{auth}{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
