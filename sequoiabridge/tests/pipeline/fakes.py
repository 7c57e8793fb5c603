"""Fakes for the tests of the pipeline: a connector, observers and a scene for dispatching calls."""

from enum import Enum
from random import Random

import curio

from ...config.document import Document
from ...config.loading import parse_document
from ...exceptions import UpstreamFailed
from ...headers import DRAIN, NOT_RUN
from ...pipeline.attempt_recorder import Observer
from ...pipeline.crash_guard import request_fingerprint
from ...pipeline.dispatch import Dispatch
from ...pipeline.exchange import Answer, Body, Exchange, Request
from ...pipeline.services import Services
from ...timers import SystemClock
from ...upstreams.base import Connector, UpstreamConnection


class Behaviour(Enum):
    """What an upstream does with a request."""

    ANSWER = "answer"
    FAIL = "fail"
    SHED = "shed"
    REFUSE_CONNECTION = "refuse connection"
    RESET = "reset"
    CRASH = "crash"
    TRUNCATE = "truncate the answer"
    TRUNCATE_DRAINING = "truncate the answer, and report a drain"
    BREAK_BEFORE_SEND = "break after the body was started, before a byte was sent"
    NEVER_ANSWER = "never answer"
    ANSWER_DRAINING = "answer, and report a drain"


class FakeConnection(UpstreamConnection):
    """A connection to an upstream with the given behaviour."""

    def __init__(self, connector, address, behaviour):
        self.connector = connector
        self.address = address
        self.behaviour = behaviour
        self.opened_at = self.last_received_at = connector.clock.now()
        self.requests = 0
        self.closed = False

    async def send(self, request):
        self.connector.received.append((self.address, request))
        body = b""
        while request.body is not None and (piece := await request.body.read()):
            body += piece
            if self.behaviour is Behaviour.BREAK_BEFORE_SEND:
                self.connector.bodies.append(body)
                raise UpstreamFailed("broken", sent=False)
        self.connector.bodies.append(body)

    async def read_head(self):
        if self.behaviour is Behaviour.NEVER_ANSWER:
            await curio.sleep(3600)
        if self.behaviour in (Behaviour.RESET, Behaviour.CRASH):
            raise UpstreamFailed("reset", sent=True)
        if self.behaviour is Behaviour.SHED:
            return Answer(503, [(NOT_RUN, b"1")], 0, None)
        status = 500 if self.behaviour is Behaviour.FAIL else 200
        fields = [(b"x-from", self.address.encode())]
        if self.behaviour in (Behaviour.ANSWER_DRAINING, Behaviour.TRUNCATE_DRAINING):
            fields.append((DRAIN, b"7"))
        return Answer(status, fields, 5, StreamedBody(self.behaviour))

    @property
    def is_reusable(self):
        return not self.closed

    async def close(self):
        self.closed = True


class StreamedBody(Body):
    """The streamed body `hello`; with some behaviours, it fails after its first piece."""

    def __init__(self, behaviour):
        self.pieces = [b"hel", b"lo"]
        self.behaviour = behaviour

    async def read(self):
        if (
            self.behaviour in (Behaviour.TRUNCATE, Behaviour.TRUNCATE_DRAINING)
            and len(self.pieces) == 1
        ):
            raise UpstreamFailed("cut off", sent=True)
        return self.pieces.pop(0) if self.pieces else b""


class FakeConnector(Connector):
    """Connects to fake upstreams; `received` has the requests that reached them, in order."""

    def __init__(self, behaviours):
        self.clock = SystemClock()
        self.behaviours = behaviours
        self.received = []
        self.bodies = []
        self.connections = []

    async def acquire(self, address, *, fresh, timeout):
        if self.behaviours[address] is Behaviour.REFUSE_CONNECTION:
            raise UpstreamFailed("refused", sent=False)
        connection = FakeConnection(self, address, self.behaviours[address])
        self.connections.append(connection)
        return connection

    def has_free(self, address):
        return True

    async def release(self, connection):
        return None

    async def close_older(self, address, opened_before):
        return None

    async def is_reachable(self, address, timeout):
        return self.behaviours[address] not in (Behaviour.CRASH, Behaviour.REFUSE_CONNECTION)


class CountingObserver(Observer):
    """Keeps the recorded failures, returns and drains."""

    def __init__(self):
        self.failures = []
        self.returned = []
        self.drained = []

    def record_drain(self, upstream, incarnation):
        self.drained.append((upstream, incarnation))

    def record_return(self, upstream, incarnation):
        self.returned.append((upstream, incarnation))

    def record_failure(self, exchange, upstream, failure):
        self.failures.append(failure)

    def record_crash(self, exchange, upstream):
        return None

    def record_upload_crash(self, service, upload, upstream):
        return None

    def record_answer(self, exchange, age):
        return None

    def record_retry(self, service, hedge):
        return None


class LedgerObserver(CountingObserver):
    """Records each crash in the service's ledger, as `Sharing` does."""

    def __init__(self, ledger, clock):
        super().__init__()
        self.ledger = ledger
        self.clock = clock

    def record_crash(self, exchange, upstream):
        self.ledger.record_crash(
            request_fingerprint(exchange), upstream, "vm-1", self.clock.wall(), self.clock.now()
        )

    def record_answer(self, exchange, age):
        self.ledger.record_answer(request_fingerprint(exchange), self.clock.wall() - age)


def document(upstreams: int, **rule) -> Document:
    """Return a configuration of one service with one rule and the given number of upstreams."""
    lines = ["[service s]", "[pool p]", "service = s", "[rule r]", "service = s"]
    lines += [f"{key} = {value}" for key, value in rule.items()]
    for number in range(1, upstreams + 1):
        lines += [f"[upstream u{number}]", "pool = p", f"address = 127.0.0.1:{number}"]
    return parse_document("\n".join(lines)).ok


class DispatchScene:
    """A dispatch over a fake connector; `behaviours` are those of the upstreams u1, u2, …"""

    def __init__(self, *behaviours: Behaviour, seed=7, **rule):
        self.connector = FakeConnector(
            {f"127.0.0.1:{n}": behaviour for n, behaviour in enumerate(behaviours, 1)}
        )
        self.clock = self.connector.clock
        self.observer = CountingObserver()
        self.services = Services(self.clock, Random(seed), lambda address, count: None, lambda: 1)
        self.document = document(len(behaviours), **rule)
        self.services.update(self.document)
        for state in self.services.by_name.values():
            # The process has been running for longer than the window of the budget.
            state.retry_budget.first_used_at = float("-inf")
        self.dispatch = Dispatch(self.services, self.connector, self.clock, self.observer)

    def exchange(self, window=30.0) -> Exchange:
        """Return a call for which service and rule are set."""
        now = self.clock.now()
        exchange = Exchange("id", Request(b"POST", b"/", [(b"host", b"s")]), now)
        exchange.service = self.document.services["s"]
        exchange.rule = self.document.rules["r"]
        exchange.deadline = now + window
        return exchange

    def run(self, exchange: Exchange) -> Answer:
        """Dispatch a call; raise its `Refusal` if it is refused."""
        return curio.run(self.dispatch.run, exchange)

    @property
    def in_flight(self) -> int:
        """Number of attempts in flight, as the pool counts them."""
        pool = self.services.by_name["s"].pool
        return sum(upstream.in_flight for upstream in pool.upstreams.values())
