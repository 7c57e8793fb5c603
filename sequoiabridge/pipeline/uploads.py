"""Translates between HTTP requests and spooled uploads.

The caller guide (docs/callers/uploads.md) documents the headers and answers.
"""

from math import inf

import msgspec

from .. import headers as names
from ..exceptions import Refusal, SequoiaError, StoreUnavailable
from ..outcome import Outcome, Reason
from ..store.upload_delivery import DeliveryOutcome, DeliveryResult
from ..store.upload_manifest import (
    Manifest,
    UploadConflict,
    UploadKeyReused,
    UploadState,
    UploadTooLarge,
    UploadUnknown,
    keyed_id,
)
from ..store.upload_table import AcceptanceUnknown, CommitUnknown
from ..store.upload_writer import IncomingUpload, UploadResult
from ..store.uploads import Uploads
from ..upstreams.base import UpstreamRequest
from .exchange import Answer, Body, BytesBody, Exchange, Request

STORE_RETRY_AFTER = 5.0
"""Seconds after which a caller may retry if the store did not answer."""

EXCLUDED_HEADERS = frozenset(
    {
        b"content-length",
        b"host",
        names.CALLER,
        names.DEADLINE,
        names.IDEMPOTENCY_KEY,
        names.UPLOAD_ID,
        names.UPLOAD_OFFSET,
        names.UPLOAD_DIGEST,
    }
)
"""Request headers that are not stored with an upload; deliveries set their own."""

REFUSING_STATUSES = frozenset({400, 409, 413, 415, 422})
"""Status codes with which an upstream refuses an upload permanently."""

REFUSALS: dict[type[SequoiaError], tuple[int, Reason]] = {
    AcceptanceUnknown: (503, Reason.STORE_DOWN),
    CommitUnknown: (503, Reason.STORE_DOWN),
    StoreUnavailable: (503, Reason.STORE_DOWN),
    UploadConflict: (409, Reason.UPLOAD_CONFLICT),
    UploadKeyReused: (422, Reason.KEY_REUSED),
    UploadUnknown: (404, Reason.BAD_REQUEST),
    UploadTooLarge: (413, Reason.BODY_TOO_LARGE),
}
"""Status and reason of the refusal for each error."""

LOOKUP_OFFSET = "?"
"""Value of `Sequoia-Upload-Offset` that requests the current offset."""

OFFSET_DIGIT_LIMIT = 19
"""An offset must have fewer digits than this."""

DIGEST_LENGTH = 64
"""Length of a SHA-256 digest in hexadecimal digits."""


class UploadStatus(msgspec.Struct, frozen=True):
    """The body of an answer about an upload, as JSON."""

    id: str
    state: UploadState
    offset: int
    digest: str
    error: str


class UploadHandler:
    """Processes the calls of rules with `upload = spool`."""

    __slots__ = ("uploads",)

    def __init__(self, uploads: Uploads):
        self.uploads = uploads

    async def handle(self, exchange: Exchange) -> Answer:
        """Receive, resume or look up an upload. Raises `Refusal` or `CallerGone`."""
        incoming = _parse_upload(exchange)
        try:
            received = await self.uploads.receive(incoming)
        except tuple(REFUSALS) as error:
            raise _refusal(error) from error
        exchange.note(f"upload {received.id} {received.state.value} at {received.offset}")
        return _build_answer(
            received, is_lookup=incoming.offset is None and bool(incoming.upload_id)
        )


def delivery_request(manifest: Manifest, body: Body) -> UpstreamRequest:
    """Return the request that delivers an upload; the header `Host` must still be added."""
    headers = [
        *manifest.headers,
        (names.CALLER, manifest.caller.encode()),
        (names.UPLOAD_ID, manifest.id.encode()),
        (names.UPLOAD_DIGEST, manifest.digest.encode()),
    ]
    return UpstreamRequest(manifest.method, manifest.target, headers, manifest.size, body)


def delivery_result(manifest: Manifest, answer: Answer) -> DeliveryResult:
    """Return the result of a delivery from the upstream's answer; only a 2xx confirms it.

    If the answer has `Sequoia-Upload-Digest`, the digest must match. The upstream then has the
    content already and may not have read the body.
    """
    returned_digest = next((v for f, v in answer.headers if f == names.UPLOAD_DIGEST), None)
    if answer.status in REFUSING_STATUSES:
        return DeliveryResult(
            DeliveryOutcome.REFUSED, f"the upstream answered {answer.status}; see its log"
        )
    if not 200 <= answer.status < 300:
        return DeliveryResult(DeliveryOutcome.RETRY, f"the upstream answered {answer.status}")
    if returned_digest is None:
        return DeliveryResult(DeliveryOutcome.CONFIRMED)
    if returned_digest.lower() != manifest.digest.encode():
        return DeliveryResult(
            DeliveryOutcome.RETRY, "the upstream confirmed another digest; see its log"
        )
    return DeliveryResult(DeliveryOutcome.ALREADY_STORED)


def _parse_upload(exchange: Exchange) -> IncomingUpload:
    request, service, caller = exchange.request, exchange.service.name, exchange.caller
    key = exchange.key or _header_text(request, names.IDEMPOTENCY_KEY)
    upload_id, offset = _parse_upload_id(request), _header_text(request, names.UPLOAD_OFFSET)
    if offset is not None and upload_id is None:
        if not key:
            raise _bad_request(
                "Sequoia-Upload-Offset needs Sequoia-Upload-Id or Idempotency-Key; add one"
            )
        upload_id = keyed_id(service, caller, key)
    is_lookup = upload_id is not None and offset in (None, LOOKUP_OFFSET)
    if is_lookup and request.length != 0:
        raise _bad_request(
            "a body for an upload that exists needs Sequoia-Upload-Offset; add its number"
        )
    return IncomingUpload(
        service,
        caller,
        request.method,
        request.target,
        [field for field in request.headers if field[0] not in EXCLUDED_HEADERS],
        request.body,
        request.length,
        key=key,
        upload_id=upload_id,
        offset=None if is_lookup or offset is None else _parse_offset(offset),
        digest=_parse_digest(request),
        max_size=exchange.rule.max_body,
        deadline=exchange.deadline or inf,
    )


def _parse_upload_id(request: Request) -> str | None:
    text = _header_text(request, names.UPLOAD_ID)
    if text is not None and not (text.isascii() and text.isalnum() and len(text) <= DIGEST_LENGTH):
        raise _bad_request("Sequoia-Upload-Id is not an id of this system; start a new upload")
    return text


def _parse_offset(text: str) -> int:
    if not (text.isascii() and text.isdecimal() and len(text) < OFFSET_DIGIT_LIMIT):
        raise _bad_request("Sequoia-Upload-Offset is neither a number of bytes nor ?; correct it")
    return int(text)


def _parse_digest(request: Request) -> str:
    text = (_header_text(request, names.UPLOAD_DIGEST) or "").lower()
    if text and (len(text) != DIGEST_LENGTH or set(text) - set("0123456789abcdef")):
        raise _bad_request(
            "Sequoia-Upload-Digest is not a SHA-256 in hexadecimal; correct or omit it"
        )
    return text


def _header_text(request: Request, name: bytes) -> str | None:
    value = request.header(name)
    return None if value is None else value.decode("latin-1")


def _build_answer(received: UploadResult, is_lookup: bool) -> Answer:
    status = UploadStatus(
        received.id, received.state, received.offset, received.digest, received.error
    )
    body = msgspec.json.encode(status) + b"\n"
    headers = [
        (b"content-type", b"application/json"),
        (names.UPLOAD_ID, received.id.encode()),
        (names.UPLOAD_OFFSET, str(received.offset).encode()),
    ]
    if received.replayed:
        headers.append((names.REPLAYED, b"1"))
    return Answer(200 if is_lookup else 202, headers, len(body), BytesBody(body))


def _bad_request(message: str) -> Refusal:
    return Refusal(400, Outcome.NOT_RUN, Reason.BAD_REQUEST, message)


def _refusal(error: SequoiaError) -> Refusal:
    status, reason = REFUSALS[type(error)]
    outcome = Outcome.UNKNOWN if isinstance(error, AcceptanceUnknown) else Outcome.NOT_RUN
    retry_after = STORE_RETRY_AFTER if isinstance(error, StoreUnavailable) else None
    return Refusal(status, outcome, reason, str(error), retry_after)
