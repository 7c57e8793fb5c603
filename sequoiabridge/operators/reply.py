"""Encodes answers of the admin port: replies, plain text, and errors with an HTTP status."""

from __future__ import annotations

from typing import Any

import msgspec

from ..exceptions import ConflictError, SequoiaError, StoreUnavailable
from ..logs import get_log
from ..store.claim_admin import ClaimNotReleased
from .errors import ConfigurationBehind, InvalidChange, LanguageError, NotFound, RequestRejected
from .messages import AdminAnswer

log = get_log("admin")

JSON = "application/json"
TEXT = "text/plain; charset=utf-8"

HTTP_STATUSES: dict[type[SequoiaError], tuple[int, str]] = {
    LanguageError: (400, "language"),
    InvalidChange: (400, "invalid"),
    NotFound: (404, "not-found"),
    ClaimNotReleased: (404, "not-released"),
    ConflictError: (409, "conflict"),
    ConfigurationBehind: (503, "behind"),
    StoreUnavailable: (503, "store-unavailable"),
}
"""HTTP status and error code of each error type; others are 500, `internal`."""


class Reply(msgspec.Struct):
    """The answer to a command: a table, a message, and the VMs that contributed rows.

    Attributes:
        heard: Names of the VMs whose rows are included.
        not_heard: For each VM whose rows are missing, the reason.
        version: Version of the configuration in force on the answering VM.
        message: One sentence, or "".
    """

    columns: list[str] = []
    rows: list[list[Any]] = []
    heard: list[str] = []
    not_heard: dict[str, str] = {}
    version: int = 0
    message: str = ""


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """The JSON of an error; `column`, `expected` and `problems` are left out if they are empty."""

    kind: str
    message: str
    column: int = 0
    expected: list[str] = []
    problems: list[str] = []


def json_answer(value: object, status: int = 200) -> AdminAnswer:
    """Return a value as JSON; values of types without a JSON form are encoded by `repr`."""
    return AdminAnswer(status, JSON, msgspec.json.encode(value, enc_hook=repr))


def text_answer(line: str, status: int = 200) -> AdminAnswer:
    """Return one line of plain text."""
    return AdminAnswer(status, TEXT, f"{line}\n".encode())


def error_answer(error: Exception) -> AdminAnswer:
    """Return an error as `{"error": {...}}` with its status."""
    status, kind = 500, "internal"
    if isinstance(error, RequestRejected):
        status, kind = error.status, error.kind
    for known, found in HTTP_STATUSES.items():
        if isinstance(error, known):
            status, kind = found
    message = str(error)
    if not isinstance(error, SequoiaError):
        log.error("admin request failed: %s", error, exc_info=error)
        message = f"The daemon failed with {type(error).__name__}; see its log for the cause."
    body = ErrorBody(
        kind,
        message,
        getattr(error, "column", 0),
        getattr(error, "expected", []),
        getattr(error, "problems", []),
    )
    answer = json_answer({"error": body}, status)
    if status == 401:
        answer.headers = (("www-authenticate", "Bearer"),)
    return answer
