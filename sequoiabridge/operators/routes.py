"""Routes of the admin port, and their authorization."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable

from ..metrics import Metrics
from .bases import Readiness
from .dump import StateDump
from .errors import LanguageError, NotFound, RequestRejected
from .executor import Executor, ReplyResult
from .messages import AdminAnswer, AdminHandler, AdminRequest
from .reply import error_answer, json_answer, text_answer

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

AUTHOR_HEADER = "sequoia-author"
"""Request header with the name of the operator; all operators share one token."""

DEFAULT_AUTHOR = "operator"
"""Author of changes by requests without that header."""

MAX_AUTHOR_CHARS = 100
"""Length to which the author's name is truncated, in characters."""

EXPLAIN_PREFIX = "/explain/"

Route = Callable[[AdminRequest], Awaitable[AdminAnswer]]


class AdminRoutes(AdminHandler):
    """Dispatches the requests of the admin port.

    `/metrics`, `/ready` and `/live` are public; all others need `Authorization: Bearer TOKEN`.
    """

    def __init__(
        self,
        token: str,
        readiness: Readiness,
        metrics: Metrics,
        dump: StateDump,
        executor: Executor,
    ):
        if not token:
            raise ValueError("The operators' token is empty; set [admin] token.")
        self.token = token.encode()
        self.readiness = readiness
        self.metrics = metrics
        self.dump = dump
        self.executor = executor
        self.public_routes: dict[str, Route] = {
            "/metrics": self._metrics,
            "/ready": self._ready,
            "/live": self._live,
        }
        self.protected_routes: dict[tuple[str, str], Route] = {
            ("GET", "/dump"): self._dump,
            ("GET", "/rows"): self._rows,
            ("POST", "/ask"): self._ask,
            ("POST", "/apply"): self._apply,
        }

    async def handle(self, request: AdminRequest) -> AdminAnswer:
        """Answer a request; all errors are returned as answers."""
        try:
            return await self._route(request)(request)
        except Exception as error:
            return error_answer(error)

    def _route(self, request: AdminRequest) -> Route:
        method = "GET" if request.method == "HEAD" else request.method
        if method == "GET" and request.path in self.public_routes:
            return self.public_routes[request.path]
        self._check_token(request)
        if method == "GET" and request.path.startswith(EXPLAIN_PREFIX):
            return self._explain
        route = self.protected_routes.get((method, request.path))
        if route is None:
            raise NotFound(f"No route {method} {request.path} exists; see docs/operators/admin.md.")
        return route

    def _check_token(self, request: AdminRequest) -> None:
        header = request.headers.get("authorization", "")
        scheme, _, token = header.partition(" ")
        is_valid = hmac.compare_digest(token.strip().encode(), self.token)
        if is_valid and scheme.lower() == "bearer":
            return
        message = (
            "The operators' token is missing or wrong; send the token of section [admin] of "
            "this VM's settings as a bearer token."
        )
        raise RequestRejected(401, "unauthorized", message)

    def _check_vm(self, request: AdminRequest) -> None:
        """Reject a query that was meant for another VM."""
        requested, own = request.query.get("vm", self.executor.vm), self.executor.vm
        if requested == own:
            return
        message = (
            f"This is {own}, not {requested}; [admin] address needs the same port on every VM."
        )
        raise RequestRejected(421, "wrong-vm", message)

    async def _metrics(self, request: AdminRequest) -> AdminAnswer:
        return AdminAnswer(200, METRICS_TYPE, await self.metrics.text())

    async def _ready(self, request: AdminRequest) -> AdminAnswer:
        ready, why = self.readiness.check()
        return text_answer(why, 200 if ready else 503)

    async def _live(self, request: AdminRequest) -> AdminAnswer:
        return text_answer("The daemon runs.")

    async def _dump(self, request: AdminRequest) -> AdminAnswer:
        return json_answer(await self.dump.collect(request.query.get("part")))

    async def _explain(self, request: AdminRequest) -> AdminAnswer:
        request_id = request.path.removeprefix(EXPLAIN_PREFIX)
        if "local" in request.query:
            self._check_vm(request)
            lines = self.executor.journal.explain(request_id)
            return json_answer(lines or [])
        return reply_answer(await self.executor.explain(request_id))

    async def _rows(self, request: AdminRequest) -> AdminAnswer:
        self._check_vm(request)
        command = request.query.get("command", "")
        rows = await self.executor.local_rows(command)
        if rows.is_error():
            raise rows.error
        return json_answer(rows.ok)

    async def _ask(self, request: AdminRequest) -> AdminAnswer:
        text = decode_body(request)
        return reply_answer(await self.executor.execute(text, author_of(request)))

    async def _apply(self, request: AdminRequest) -> AdminAnswer:
        text = decode_body(request)
        expect = query_integer(request, "expect")
        dry_run = request.query.get("dry_run", "0") not in ("0", "no", "false")
        author = author_of(request)
        return reply_answer(await self.executor.apply(text, author, expect, dry_run))


def reply_answer(result: ReplyResult) -> AdminAnswer:
    """Return the JSON answer of a reply or an error."""
    return json_answer(result.ok) if result.is_ok() else error_answer(result.error)


def author_of(request: AdminRequest) -> str:
    """Return the name of the operator, sanitized, or the default."""
    author = "".join(c for c in request.headers.get(AUTHOR_HEADER, "") if c.isprintable()).strip()
    return author[:MAX_AUTHOR_CHARS] or DEFAULT_AUTHOR


def decode_body(request: AdminRequest) -> str:
    """Return the body as text, or raise `LanguageError` if it is not UTF-8."""
    try:
        return request.body.decode("utf-8")
    except UnicodeDecodeError as error:
        message = f"The request body is not UTF-8 at byte {error.start + 1}; encode it as UTF-8."
        raise LanguageError(message, error.start + 1) from error


def query_integer(request: AdminRequest, name: str) -> int | None:
    """Return an integer parameter of the query, or None if it is missing."""
    text = request.query.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()):
        raise RequestRejected(
            400, "bad-request", f"{name}={text} is not a whole number; use digits only."
        )
    return int(text)
