"""Filter that claims the idempotency key of a call in the store before the call is sent."""

from __future__ import annotations

import curio

from .. import headers
from ..exceptions import Refusal
from ..logs import get_log
from ..outcome import Outcome, Reason
from ..store.claim_results import (
    ClaimBusy,
    ClaimGranted,
    ClaimMismatch,
    ClaimReplay,
    ClaimResult,
    ClaimUnavailable,
    ClaimUnknown,
)
from ..store.claims import Claims
from .base import DEFAULT_RETRY_AFTER, Filter
from .buffering import ReplayableBody
from .exchange import Answer, BytesBody, Exchange

log = get_log("claiming")

MAX_REPLAY_BYTES = 16 * 1024
"""Maximum size of an answer's body that is stored for replay, in bytes."""

NO_BODY_DIGEST = ""
STREAMED_BODY_DIGEST = "streamed"
"""Stands for the digest of a streamed body; two streamed bodies are not compared."""


class Claiming(Filter):
    """Ensures that calls with a key, of rules that are not idempotent, run at most once."""

    __slots__ = ("claims",)

    name = "claiming"

    def __init__(self, claims: Claims):
        self.claims = claims

    async def enter(self, exchange: Exchange) -> None:
        if exchange.key is None or exchange.rule.idempotent:
            return
        service = exchange.service.name
        digest = body_digest(exchange)
        result = await self.claims.acquire(
            service, exchange.caller, exchange.key, digest, exchange.deadline
        )
        if isinstance(result, ClaimGranted):
            exchange.claim = result
            return
        if isinstance(result, ClaimReplay):
            exchange.answer = replay(result, exchange.id)
            return
        raise refusal(result)

    async def leave(self, exchange: Exchange, clean: bool) -> None:
        """Record the outcome in the background, so that the caller does not wait for the store."""
        if exchange.claim is not None:
            await curio.spawn(self._record_outcome(exchange), daemon=True)

    async def _record_outcome(self, exchange: Exchange) -> None:
        claim = exchange.claim
        if not exchange.unproven_attempts:
            await self.claims.release(claim)
        elif exchange.refusal is not None or not exchange.upstream:
            await self.claims.mark_unknown(claim)
        else:
            await self._complete(exchange, claim)

    async def _complete(self, exchange: Exchange, claim: ClaimGranted) -> None:
        answer = exchange.answer
        body = answer.body
        stored_body = body.whole if isinstance(body, BytesBody) else None
        if answer.body is None:
            stored_body = b""
        if stored_body is not None and len(stored_body) > MAX_REPLAY_BYTES:
            stored_body = None
        fields = [field for field in answer.headers if field[0] != headers.REQUEST_ID]
        await self.claims.complete(claim, answer.status, fields, stored_body)


def body_digest(exchange: Exchange) -> str:
    """Return the digest by which a request's body is compared with others under the same key."""
    body = exchange.request.body
    if body is None:
        return NO_BODY_DIGEST
    return body.digest() if isinstance(body, ReplayableBody) else STREAMED_BODY_DIGEST


def replay(result: ClaimReplay, request_id: str) -> Answer:
    """Return the answer that replays a stored one."""
    fields = [
        *result.headers,
        (headers.REPLAYED, b"1"),
        (headers.REQUEST_ID, request_id.encode()),
    ]
    if result.body is None:
        fields = [field for field in fields if field[0] != b"content-length"]
        return Answer(result.status, fields, 0, None)
    return Answer(result.status, fields, len(result.body), BytesBody(result.body))


def refusal(result: ClaimResult) -> Refusal:
    """Return the refusal for a claim that was not granted."""
    if isinstance(result, ClaimBusy):
        message = "The same key is being worked on; ask again with it for the outcome."
        return Refusal(409, Outcome.UNKNOWN, Reason.DUPLICATE, message, DEFAULT_RETRY_AFTER)
    if isinstance(result, ClaimUnknown):
        message = "An earlier request with this key may have run; an operator must settle it."
        return Refusal(409, Outcome.UNKNOWN, Reason.DUPLICATE, message)
    if isinstance(result, ClaimMismatch):
        message = "This key was used with another body; take a new key for new work."
        return Refusal(422, Outcome.NOT_RUN, Reason.KEY_REUSED, message)
    if isinstance(result, ClaimUnavailable):
        message = f"The request was not sent: {result.message}."
        return Refusal(503, Outcome.NOT_RUN, Reason.STORE_DOWN, message, DEFAULT_RETRY_AFTER)
    raise TypeError(f"unknown claim result {result!r}")
