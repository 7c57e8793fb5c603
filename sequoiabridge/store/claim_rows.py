"""Rows of at-most-once claims, and what a row that stands in the way means: pure.

A claim's row goes HELD -> DONE, UNKNOWN or RELEASED, and RELEASED -> HELD under a new token. It
is never deleted while one of its writes may still be on its way: a RELEASED row is a tombstone
whose version makes every older write fail.
"""

import hashlib
import secrets
from enum import Enum

import msgspec

CLAIMS_TABLE = "claims"
"""Table of the claims."""

AUDIT_TABLE = "claims-audit"
"""Table of what operators released."""

STORED_BODY_LIMIT = 16 * 1024
"""Bytes of an answer's body that are kept for replay; a larger answer is not kept."""

STORED_HEADERS_LIMIT = 4 * 1024
"""Bytes of an answer's header fields that are kept for replay."""

REPORT_GRACE = 5.0
"""Seconds after the holder's deadline in which its report may still come."""

KEY_BYTES = 20
"""Length of the digest that names a row."""

TOKEN_BYTES = 16
"""Random bytes in a token."""


class ClaimState(Enum):
    """What is known of the work that a claim stands for."""

    HELD = "held"
    """Its holder may send the request, or has sent it, and has not reported yet."""
    DONE = "done"
    """It ran, and its answer was complete."""
    UNKNOWN = "unknown"
    """It was sent, and nobody knows whether it ran."""
    RELEASED = "released"
    """Proven not run; the key may be claimed again."""


class ClaimRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """One claim as stored; times are wall time in seconds.

    `token` is unique to one attempt. `until` is the holder's deadline: it sends nothing after it.
    `body` is None when the answer was too large to keep.
    """

    state: ClaimState
    token: str
    vm: str
    service: str
    caller: str
    key: str
    digest: str
    at: float
    until: float
    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes | None = None


class AuditRow(msgspec.Struct, frozen=True):
    """One release by an operator, with the claim as it was."""

    row_key: str
    author: str
    reason: str
    at: float
    token: str
    claim: ClaimRow


ENCODER = msgspec.msgpack.Encoder()
CLAIM_DECODER = msgspec.msgpack.Decoder(ClaimRow)
AUDIT_DECODER = msgspec.msgpack.Decoder(AuditRow)


def decode_claim(value: bytes) -> ClaimRow | None:
    """Return the claim in a row's value, None if a newer version of the daemon wrote it."""
    try:
        return CLAIM_DECODER.decode(value)
    except msgspec.DecodeError:
        return None


def new_token() -> str:
    """Return a token that no other attempt has."""
    return secrets.token_hex(TOKEN_BYTES)


def claim_key(service: str, caller: str, key: str) -> str:
    """Return the row's key: a digest, so that any caller's key fits and rows spread evenly."""
    name = msgspec.msgpack.encode((service, caller, key))
    return hashlib.blake2b(name, digest_size=KEY_BYTES).hexdigest()


def with_outcome(
    row: ClaimRow,
    state: ClaimState,
    status: int = 0,
    headers: list[tuple[bytes, bytes]] = (),
    body: bytes | None = None,
) -> ClaimRow:
    """Return `row` with its outcome; an answer over the limits is left out."""
    size = sum(len(name) + len(value) for name, value in headers)
    if body is not None and (len(body) > STORED_BODY_LIMIT or size > STORED_HEADERS_LIMIT):
        headers, body = (), None
    return msgspec.structs.replace(
        row, state=state, status=status, headers=list(headers), body=body
    )


class KeyStatus(Enum):
    """What the row in the way means for a new attempt with the same key."""

    FREE = "free"
    MISMATCH = "mismatch"
    BUSY = "busy"
    UNKNOWN = "unknown"
    DONE = "done"


def key_status(row: ClaimRow, digest: str, wall: float) -> KeyStatus:
    """Judge the row in the way. Time never frees a held claim: its holder may only be paused."""
    if row.state is ClaimState.RELEASED:
        return KeyStatus.FREE
    if row.digest != digest:
        return KeyStatus.MISMATCH
    if row.state is ClaimState.DONE:
        return KeyStatus.DONE
    if row.state is ClaimState.HELD and wall < row.until + REPORT_GRACE:
        return KeyStatus.BUSY
    return KeyStatus.UNKNOWN
