"""Rows of at-most-once claims, and what an existing row means for a new claim.

The state of a row changes from HELD to DONE, UNKNOWN or RELEASED, and from RELEASED to HELD with
a new token. A row is never deleted while a write to it may still be in flight: a RELEASED row is a
tombstone whose version makes all older writes fail.
"""

import hashlib
import secrets
from enum import Enum

import msgspec

CLAIMS_TABLE = "claims"
"""Name of the table of claims."""

AUDIT_TABLE = "claims-audit"
"""Name of the table of releases by operators."""

STORED_BODY_LIMIT = 16 * 1024
"""Maximum size, in bytes, of an answer's body that is stored for replay."""

STORED_HEADERS_LIMIT = 4 * 1024
"""Maximum total size, in bytes, of an answer's header fields that are stored for replay."""

REPORT_GRACE = 5.0
"""Seconds after the holder's deadline during which its report is still expected."""

KEY_BYTES = 20
"""Length, in bytes, of the digest that is a row's key."""

TOKEN_BYTES = 16
"""Number of random bytes in a token."""


class ClaimState(Enum):
    """What is known about the request that is claimed."""

    HELD = "held"
    """The holder may send the request or has sent it, and has not reported the outcome."""
    DONE = "done"
    """The request ran and its answer was complete."""
    UNKNOWN = "unknown"
    """The request was sent. It is not known whether it ran."""
    RELEASED = "released"
    """The request is proven not to have run. The key may be claimed again."""


class ClaimRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """A claim as stored. Times are wall time in seconds.

    `token` is unique to one attempt to claim the key. `until` is the holder's deadline, after which
    it sends nothing. `body` is None if no body is stored.
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
    """A release by an operator, with the claim as it was before."""

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
    """Decode a row's value. Return None if a newer version of the daemon wrote it."""
    try:
        return CLAIM_DECODER.decode(value)
    except msgspec.DecodeError:
        return None


def new_token() -> str:
    """Return a unique token."""
    return secrets.token_hex(TOKEN_BYTES)


def claim_key(service: str, caller: str, key: str) -> str:
    """Return the row's key: a digest, so that keys have a fixed length and are spread evenly."""
    name = msgspec.msgpack.encode((service, caller, key))
    return hashlib.blake2b(name, digest_size=KEY_BYTES).hexdigest()


def with_outcome(
    row: ClaimRow,
    state: ClaimState,
    status: int = 0,
    headers: list[tuple[bytes, bytes]] = (),
    body: bytes | None = None,
) -> ClaimRow:
    """Return `row` with its outcome. An answer that exceeds the size limits is left out."""
    size = sum(len(name) + len(value) for name, value in headers)
    if body is not None and (len(body) > STORED_BODY_LIMIT or size > STORED_HEADERS_LIMIT):
        headers, body = (), None
    return msgspec.structs.replace(
        row, state=state, status=status, headers=list(headers), body=body
    )


class KeyStatus(Enum):
    """What an existing claim means for a new attempt to claim the same key."""

    FREE = "free"
    MISMATCH = "mismatch"
    BUSY = "busy"
    UNKNOWN = "unknown"
    DONE = "done"


def key_status(row: ClaimRow, digest: str, wall: float) -> KeyStatus:
    """Return what `row` means for a new claim of the same key, whose body has this digest.

    A held claim never becomes free by time alone, since its holder may only be paused.
    """
    if row.state is ClaimState.RELEASED:
        return KeyStatus.FREE
    if row.digest != digest:
        return KeyStatus.MISMATCH
    if row.state is ClaimState.DONE:
        return KeyStatus.DONE
    if row.state is ClaimState.HELD and wall < row.until + REPORT_GRACE:
        return KeyStatus.BUSY
    return KeyStatus.UNKNOWN
