"""Filter: a request that crashed upstreams is stopped before it reaches another."""

from __future__ import annotations

from hashlib import sha256

from ..exceptions import Refusal
from ..logs import get_log
from ..outcome import Outcome, Reason
from ..policy.crashes import CrashLedger
from ..timers import Clock
from .base import Filter
from .buffering import ReplayableBody
from .exchange import Exchange
from .services import Services

log = get_log("crash-stop")

FINGERPRINT_LENGTH = 24
"""Hexadecimal digits of a fingerprint: 96 bits, short enough to be typed."""


class CrashGuard(Filter):
    """Refuses calls whose fingerprint is listed as crashing upstreams."""

    __slots__ = ("services", "clock")

    name = "crash-stop"

    def __init__(self, services: Services, clock: Clock):
        self.services = services
        self.clock = clock

    async def enter(self, exchange: Exchange) -> None:
        ledger = self.services.state_of(exchange).ledger
        now = self.clock.now()
        if not is_request_blocked(ledger, exchange, now):
            return
        fingerprint = request_fingerprint(exchange)
        if ledger.take_trial(fingerprint, now):
            log.info("Request %s, which is stopped, is let through once as a trial.", fingerprint)
            return
        message = (
            "Upstreams crashed on this request, so it is stopped; "
            f"an operator can release {fingerprint}."
        )
        raise Refusal(422, Outcome.NOT_RUN, Reason.CRASHES_UPSTREAMS, message)


def is_request_blocked(ledger: CrashLedger, exchange: Exchange, now: float) -> bool:
    """Return whether the request may reach no more upstreams because some crashed on it."""
    # Nothing stopped is the usual case, and then nothing is computed.
    return bool(ledger.blocked_fingerprints) and ledger.is_blocked(
        request_fingerprint(exchange), now
    )


def request_fingerprint(exchange: Exchange) -> str:
    """Return by what the same request is known again, whoever sends it to whichever VM.

    The idempotency key where there is one, else method, path and the body's digest (its length
    when it is streamed).
    """
    if exchange.fingerprint is None:
        exchange.fingerprint = _compute_fingerprint(exchange)
    return exchange.fingerprint


def _compute_fingerprint(exchange: Exchange) -> str:
    request = exchange.request
    digest = sha256(exchange.service.name.encode())
    if exchange.key is not None:
        digest.update(b"key")
        digest.update(exchange.caller.encode())
        digest.update(exchange.key.encode())
        return digest.hexdigest()[:FINGERPRINT_LENGTH]
    digest.update(request.method)
    digest.update(request.target)
    if isinstance(request.body, ReplayableBody):
        digest.update(request.body.whole)
    else:
        digest.update(str(request.length).encode())
    return digest.hexdigest()[:FINGERPRINT_LENGTH]
