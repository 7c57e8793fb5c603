"""Filter that blocks requests that crash upstreams."""

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
"""Length of a fingerprint in hexadecimal digits; short enough for operators to type."""


class CrashGuard(Filter):
    """Refuses calls whose fingerprint is blocked, except for occasional trials."""

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
            log.info("Allowing blocked request %s once, as a trial.", fingerprint)
            return
        message = (
            "Upstreams crashed on this request, so it is stopped; "
            f"an operator can release {fingerprint}."
        )
        raise Refusal(422, Outcome.NOT_RUN, Reason.CRASHES_UPSTREAMS, message)


def is_request_blocked(ledger: CrashLedger, exchange: Exchange, now: float) -> bool:
    """Return whether the request is blocked because upstreams crashed on it."""
    # Skip the fingerprint in the usual case that no request is blocked.
    return bool(ledger.blocked_fingerprints) and ledger.is_blocked(
        request_fingerprint(exchange), now
    )


def request_fingerprint(exchange: Exchange) -> str:
    """Return a fingerprint that identifies the request on all VMs.

    It is made from caller and idempotency key if there is a key, else from method, path and body
    (its length if it is streamed).
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
