"""What the mutants replace: each function returns the places and what stands there instead."""

from __future__ import annotations

from unittest import mock

import curio
import msgspec
from expression import Ok

from ...callers.server import CallerServer
from ...configuration import ConfigurationInForce
from ...exceptions import SequoiaError
from ...outcome import Outcome as Told
from ...pipeline import claiming, crash_guard, dispatch, upload_sender
from ...pipeline.claiming import Claiming
from ...pipeline.dispatch import Dispatch
from ...pipeline.exchange import BytesBody, Exchange
from ...policy.drains import DrainLedger
from ...policy.probing import MAX_TOKENS, ProbeBudget
from ...readiness import DaemonReadiness
from ...store import claims, upload_writer, versions
from ...store.base import StoreErrorKind
from ...store.breaker import CircuitBreaker
from ...store.claim_rows import ClaimState, KeyStatus, key_status
from ...store.upload_delivery import ChunkBody, DeliveryOutcome, DeliveryResult, UploadDeliverer
from ...store.upload_writer import UploadResult, UploadWriter
from ...store.uploads import Uploads
from ...store.versions import Versions
from ...upstreams.exchange import HttpConnection
from ...upstreams.link import Link

Patch = tuple[object, str, object]
"""Where, the attribute, and what stands there instead."""


# Work that must not run twice.


def skip_claim() -> list[Patch]:
    async def enter(self, exchange) -> None:
        return

    return [(Claiming, "enter", enter)]


def take_over_lapsed_claim() -> list[Patch]:
    def lapsing(row, digest, wall):
        lapsed = row.state is ClaimState.HELD and wall >= row.until
        return KeyStatus.FREE if lapsed else key_status(row, digest, wall)

    return [(claims, "key_status", lapsing)]


def claim_after_sending() -> list[Patch]:
    enter = Claiming.enter

    async def late(self, exchange) -> None:
        async def claim() -> None:
            await curio.sleep(0.05)
            with mock.patch.object(claiming, "replay", lambda result, name: None):
                try:
                    await enter(self, exchange)
                except claiming.Refusal:
                    return

        await curio.spawn(claim, daemon=True)

    return [(Claiming, "enter", late)]


def release_what_was_sent() -> list[Patch]:
    async def report(self, exchange) -> None:
        answered = exchange.refusal is None and exchange.upstream
        if answered:
            await self._complete(exchange, exchange.claim)
        else:
            await self.claims.release(exchange.claim)

    return [(Claiming, "_record_outcome", report)]


def retry_after_a_byte() -> list[Patch]:
    def may_retry(rule, sent, proven_not_run, attempts, time_left) -> bool:
        return attempts < 3 and time_left > 0.005

    return [(dispatch, "may_retry", may_retry)]


def not_run_after_sending() -> list[Patch]:
    return [(Exchange, "outcome", property(lambda self: Told.NOT_RUN))]


# Answers.


def reuse_after_timeout() -> list[Patch]:
    def prepare_for_reuse(self) -> bool:
        self._reset_request_state()
        return not self.closed

    async def close(self) -> None:
        return

    return [(Link, "prepare_for_reuse", prepare_for_reuse), (HttpConnection, "close", close)]


def answer_of_another() -> list[Patch]:
    run = Dispatch.run

    async def shared(self, exchange):
        answer = await run(self, exchange)
        if isinstance(answer.body, BytesBody):
            last, Shared.last = Shared.last, answer.body.whole
            if last is not None and len(last) == len(answer.body.whole):
                answer.body = BytesBody(last)
        return answer

    class Shared:
        last = None

    return [(Dispatch, "run", shared)]


def raise_inside() -> list[Patch]:
    def refusal(result):
        raise KeyError(type(result).__name__)

    return [(claiming, "refusal", refusal)]


# The configuration.


def fall_back_to_older_version() -> list[Patch]:
    put, latest = ConfigurationInForce._put_in_force, Versions.latest
    before: dict[ConfigurationInForce, object] = {}

    def remember(self, document) -> None:
        before[self] = self.in_force
        put(self, document)

    async def poll(self) -> None:
        if (await latest(self.versions)).is_error() and self in before:
            self.in_force = before[self]
            return
        await real_poll(self)

    real_poll = ConfigurationInForce._poll
    return [
        (ConfigurationInForce, "_put_in_force", remember),
        (ConfigurationInForce, "_poll", poll),
    ]


def accept_unproven() -> list[Patch]:
    commit = Versions._commit

    async def hopeful(self, row, found, deadline):
        result = await commit(self, row, found, deadline)
        failed = result.is_error()
        if failed and result.error.kind is not StoreErrorKind.CONDITION_FAILED:
            return Ok(None)
        return result

    return [(Versions, "_commit", hopeful)]


def commit_without_compare() -> list[Patch]:
    async def blind(self, row, found, deadline):
        head = versions.HeadRow(row.version, row.author, row.at, row.token)
        key = versions.change_key(row.version)
        change = versions.Write(versions.CONFIGURATION_TABLE, key, versions.ENCODER.encode(row))
        writes = [
            versions.Write(
                versions.CONFIGURATION_TABLE, versions.HEAD_KEY, versions.ENCODER.encode(head)
            )
        ]
        return await self.store.transact([], [*writes, change], 1.0, versions.Priority.NORMAL)

    return [(Versions, "_commit", blind)]


def serve_while_not_current() -> list[Patch]:
    return [
        (DaemonReadiness, "why_not_serving", lambda self: ""),
        (DaemonReadiness, "check", lambda self: (not self.stopping, "")),
    ]


# Uploads.


def accept_before_commit() -> list[Patch]:
    accept = UploadWriter._accept

    async def eager(self):
        manifest = upload_writer.accept(
            self.current.manifest,
            self.pending,
            await self._content_digest(),
            "vm",
            0.0,
            stamp(self),
        )
        await curio.spawn(later, self, daemon=True)
        return UploadResult(manifest)

    async def later(self) -> None:
        try:
            await accept(self)
        except SequoiaError:
            return

    def stamp(self):
        return self.uploads.new_stamp()

    return [(UploadWriter, "_accept", eager)]


def accept_half() -> list[Patch]:
    async def write_chunk(self) -> bool:
        piece = await self.chunker.next_piece(self.uploads.chunk_size)
        if piece.data:
            await self._store_piece(piece)
        return len(piece.data) == self.uploads.chunk_size

    def any_length(manifest, *more):
        return accept(msgspec.structs.replace(manifest, length=None), *more)

    accept = upload_writer.accept
    return [(UploadWriter, "_write_chunk", write_chunk), (upload_writer, "accept", any_length)]


def deliver_half() -> list[Patch]:
    request, next_chunk = upload_sender.delivery_request, ChunkBody._load_next_chunk

    def without_digest(manifest, body):
        made = request(manifest, body)
        made.headers = [field for field in made.headers if b"digest" not in field[0]]
        made.length = None
        return made

    async def first_only(self) -> bool:
        if self.next_index == 0:
            return await next_chunk(self)
        self.chunk, self.position, self.complete = b"", 0, True
        return False

    return [
        (upload_sender, "delivery_request", without_digest),
        (ChunkBody, "_load_next_chunk", first_only),
    ]


def confirm_undelivered() -> list[Patch]:
    attempt = UploadDeliverer._attempt

    async def hopeful(self, held) -> None:
        send = self.send

        async def sent(manifest, body):
            found = await send(manifest, body)
            if found.outcome is DeliveryOutcome.RETRY:
                return DeliveryResult(DeliveryOutcome.ALREADY_STORED)
            return found

        with mock.patch.object(self, "send", sent):
            await attempt(self, held)

    return [(UploadDeliverer, "_attempt", hopeful)]


# Upstreams, stops, measuring, recovery.


def work_for_leaving() -> list[Patch]:
    return [(DrainLedger, "draining", lambda self, name: None)]


def no_crash_stop() -> list[Patch]:
    never = lambda ledger, exchange, now: False  # noqa: E731
    return [
        (crash_guard, "is_request_blocked", never),
        (dispatch, "is_request_blocked", never),
    ]


def cut_off_on_stop() -> list[Patch]:
    async def cut(self) -> None:
        for connection in list(self.open_connections):
            await connection.transport.task.cancel()

    return [(CallerServer, "wait_idle", cut)]


def stop_without_end() -> list[Patch]:
    return [(Uploads, "idle", property(lambda self: False))]


def unpaid_probes() -> list[Patch]:
    def record_calls(self, calls, now) -> None:
        self.calls += calls
        self.tokens = MAX_TOKENS

    return [(ProbeBudget, "record_calls", record_calls)]


def store_given_up() -> list[Patch]:
    return [(CircuitBreaker, "allow_call", lambda self, now: not self.is_open)]
