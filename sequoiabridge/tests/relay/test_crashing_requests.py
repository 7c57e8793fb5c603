"""Requests that crash upstreams, sent through a daemon to emulated upstreams and store."""

import json
import time
from itertools import count

import curio
import pytest

from ...balancing import chooser
from ...pipeline.exchange import Request
from ...relay.block_table import SEPARATOR, TABLE
from ...relay.block_trials import TRIAL_DELAYS
from ...relay.fingerprints import request_fingerprint
from ...relay.messages import RequestCrashed
from ..platform.environment import HOST, run_in_environment
from ..platform.store_emulator import abort_connection
from ..platform.upstream_emulator import UpstreamEmulator

CRASHING = "/read/crashing"

MIN_CRASHES = 3
"""Number of upstreams that a request may crash before it is blocked."""

SETTLE_SECONDS = 0.4
"""Seconds within which a crash has been noticed."""


SILENCE_SECONDS = 1.2
"""Seconds within which an end in silence has been noticed: a check begins within 0.25 s and waits
0.4 s for a health check."""


def set_faults(env, **faults):
    """Set faults of all upstreams."""
    for upstream in env.upstreams.values():
        for name, value in faults.items():
            setattr(upstream.faults, name, value)


def crashed(env, prefix=""):
    """Return the upstreams that ran a crashing request."""
    return [u for u in env.upstreams.values() if any(r.startswith("bad" + prefix) for r in u.runs)]


def crash_count(env):
    """Return the number of upstreams that the crashing request ended, but for its trials."""
    return len(crashed(env)) - env.gateway.blocked_requests.trials.taken


async def send_crashing(env, times, settle=SETTLE_SECONDS, **more):
    """Send the crashing request again and again; return the statuses."""
    statuses = []
    for number in range(times):
        reply = await env.call(CRASHING, f"bad-{number}", **more)
        statuses.append(reply.status)
        await curio.sleep(settle)
    return statuses


def block(env, name):
    """Tell the daemon as a peer that a request has crashed three upstreams."""
    for number in range(MIN_CRASHES):
        env.gateway.sharing._handle(RequestCrashed(name, f"elsewhere-{number}"))


async def learn_fingerprint(env, target=CRASHING):
    """Return the fingerprint of a request that crashes one upstream."""
    events = []
    log, env.gateway.decisions.event = env.gateway.decisions.event, None

    def record(event, **fields):
        events.append((event, fields))
        log(event, **fields)

    env.gateway.decisions.event = record
    await env.call(target, "bad-learn", timeout_ms=300)
    await env.wait_until(lambda: any(event == "request-crashed" for event, _ in events))
    env.gateway.decisions.event = log
    return next(fields["fingerprint"] for event, fields in events if event == "request-crashed")


def test_a_request_from_several_addresses_is_blocked_as_one():
    # Each address of a caller had to crash three upstreams of its own.
    async def test(env):
        set_faults(env, crash_path=CRASHING)
        for number in range(8):
            await env.call(CRASHING, f"bad-{number}", source=f"127.0.0.{number + 2}")
            await curio.sleep(SETTLE_SECONDS)
        assert crash_count(env) in (MIN_CRASHES, MIN_CRASHES + 1)

    run_in_environment(test, reads=10)


@pytest.mark.parametrize("body", [b"", b"posting 17"])
def test_requests_that_differ_are_not_blocked_with_a_crashing_one(body):
    async def test(env):
        set_faults(env, crash_path=CRASHING)
        await send_crashing(env, 5)
        assert (await env.call("/read/other", "fine")).status == 200
        if body:
            target = "/approve/x"
            assert (await env.call(target, "p", method="POST", body=body)).status == 200

    run_in_environment(test, reads=8)


def test_an_answer_that_reports_a_failure_clears_no_suspect():
    # An upstream that failed a request without running it cleared it of its crashes.
    async def test(env):
        set_faults(env, crash_path=CRASHING)
        await send_crashing(env, 1)
        before = len(crashed(env))
        for upstream in env.upstreams.values():
            upstream.faults.crash_path, upstream.faults.fail = "", 1.0
        assert (await env.call(CRASHING, "failed")).status == 500
        set_faults(env, crash_path=CRASHING, fail=0.0)
        await send_crashing(env, 6)
        assert before < crash_count(env) <= MIN_CRASHES + 1

    run_in_environment(test, reads=12)


def test_a_crash_after_the_head_of_the_answer_counts():
    # Only crashes before the head of the answer counted.
    async def test(env):
        set_faults(env, crash_path=CRASHING, crash_sends_head=True, crash_delay=0.05)
        await send_crashing(env, 8)
        assert crash_count(env) in (MIN_CRASHES, MIN_CRASHES + 1)

    run_in_environment(test, reads=10)


def test_pages_stay_served_while_a_share_of_the_reads_crashes_upstreams():
    # The small form of the day under deploy/days/deadly.toml.
    async def test(env):
        set_faults(env, crash_path=CRASHING)
        served = 0
        for number in range(100):
            if number % 33 == 0:
                await env.call(CRASHING, f"bad-{number}")
            served += (await env.call(f"/read/page-{number % 7}", f"page-{number}")).status == 200
            await curio.sleep(0.02)
        assert served == 100
        assert crash_count(env) <= MIN_CRASHES + 1

    run_in_environment(test, reads=12)


class SucceededUpstream(UpstreamEmulator):
    """An upstream at whose address another one listens before its connections are reset.

    Attributes:
        env: The environment, to which the successor is added.
    """

    env = None
    numbers = count(1)

    async def crash(self):
        await self.listener.cancel()
        successor = SucceededUpstream(f"n{next(self.numbers)}", "reads", "here")
        successor.env, successor.faults.crash_path = self.env, CRASHING
        await successor.start(self.address)
        self.env.upstreams[successor.id] = successor
        for connection in list(self.connections):
            abort_connection(connection)
        await self.env.store.put("servers", self.id, None)
        await self.env.store.put("servers", successor.id, successor.entry())


def test_a_crash_counts_although_another_upstream_has_the_address_at_once():
    # An upstream whose address accepted a connection was taken for alive.
    async def test(env):
        for number in range(4):
            upstream = env.upstreams[f"s{number}"] = SucceededUpstream(
                f"s{number}", "reads", "here"
            )
            upstream.env, upstream.faults.crash_path = env, CRASHING
            await upstream.start()
            await env.update_entry(upstream.id)
        await env.wait_until(lambda: len(env.gateway.upstreams.for_service("reads")) == 4)
        for number in range(8):
            await env.call(CRASHING, f"bad-{number}")
            await curio.sleep(1.0)
        assert crash_count(env) in (MIN_CRASHES, MIN_CRASHES + 1)

    run_in_environment(test, reads=0)


class ClosingUpstream(UpstreamEmulator):
    """An upstream whose port still accepts connections while it ends, and resets them."""

    is_ending = False

    async def crash(self):
        self.is_ending = True
        for connection in list(self.connections):
            abort_connection(connection)

    async def serve(self, client, peer):
        if self.is_ending:
            await client.close()
            return
        await super().serve(client, peer)


def test_a_crash_counts_although_no_other_upstream_has_answered_since_the_send():
    # The connection was accepted and reset, and no other answer came in the 60 ms since the send.
    async def test(env):
        for number in range(8):
            upstream = env.upstreams[f"c{number}"] = ClosingUpstream(f"c{number}", "reads", "here")
            upstream.faults.crash_path = CRASHING
            await upstream.start()
            await env.update_entry(upstream.id)
        await env.wait_until(lambda: len(env.gateway.upstreams.for_service("reads")) == 8)
        for number in range(8):
            await env.call(CRASHING, f"bad-{number}")
            await curio.sleep(0.5)
            await env.call("/approve/x", f"other-{number}", method="POST", body=b"x")
            await curio.sleep(0.5)
        assert crash_count(env) in (MIN_CRASHES, MIN_CRASHES + 1)

    run_in_environment(test, reads=0)


def test_an_upstream_that_ends_in_silence_counts_as_crashed():
    # An upstream that answered nothing any more, not even health checks, did not count.
    async def test(env):
        set_faults(env, crash_path=CRASHING, crash_is_silent=True)
        for number in range(8):
            await env.call(CRASHING, f"bad-{number}", timeout_ms=500)
            await env.call("/read/page", f"page-{number}")
            await curio.sleep(SILENCE_SECONDS)
        assert crash_count(env) <= MIN_CRASHES + 1

    run_in_environment(test, reads=14)


def test_a_call_whose_request_is_blocked_meanwhile_is_not_sent_to_a_second_upstream():
    # Only the first attempt of a call was asked for.
    async def test(env):
        first = env.upstreams["r0"]
        first.faults.crash_path = CRASHING
        name = await learn_fingerprint(env)
        await first.start(first.address)
        first.faults.crash_path, first.faults.crash_delay = CRASHING, 0.3
        connection = await env.connect()
        await connection.send(CRASHING, "bad-late")
        await env.wait_until(lambda: "bad-late" in first.runs)
        second = await env.add_upstream("r1", "reads")
        await env.wait_until(lambda: "r1" in env.gateway.upstreams.by_id)
        block(env, name)
        assert (await connection.reply()).status == 502
        assert second.runs == []

    run_in_environment(test, reads=1)


def test_a_call_whose_request_is_blocked_meanwhile_is_not_hedged():
    async def test(env):
        first = env.upstreams["r0"]
        first.faults.crash_path = CRASHING
        name = await learn_fingerprint(env)
        await first.start(first.address)
        first.faults.crash_path = ""
        for number in range(5):
            assert (await env.call("/read/page", f"page-{number}")).status == 200
        first.faults.hang = True
        connection = await env.connect()
        await connection.send(CRASHING, "bad-late")
        await env.wait_until(lambda: "bad-late" in first.runs)
        second = await env.add_upstream("r1", "reads")
        await env.wait_until(lambda: "r1" in env.gateway.upstreams.by_id)
        block(env, name)
        await connection.reply()
        assert second.runs == []

    run_in_environment(test, reads=1)


def test_a_call_that_waits_for_capacity_is_refused_when_its_request_is_blocked(monkeypatch):
    monkeypatch.setattr(chooser, "HOLD_SHARE", 100.0)

    async def test(env):
        set_faults(env, crash_path=CRASHING)
        name = await learn_fingerprint(env)
        for upstream in env.upstreams.values():
            await env.store.put("servers", upstream.id, None)
        busy = await env.add_upstream("busy", "reads")
        await env.wait_until(lambda: list(env.gateway.upstreams.by_id) == ["busy"])
        busy.faults.hang = True
        connections = [await env.connect() for _ in range(busy.slots + busy.queue)]
        for number, connection in enumerate(connections):
            await connection.send(f"/read/page-{number}", f"page-{number}")
        await env.wait_until(lambda: busy.running == busy.slots)
        await env.wait_until(lambda: env.gateway.callers.in_flight == len(connections))
        await curio.sleep(0.1)
        waiting = await env.connect()
        await waiting.send(CRASHING, "bad-late", timeout_ms=1000)
        await env.wait_until(lambda: env.gateway.callers.in_flight == len(connections) + 1)
        await curio.sleep(0.1)
        block(env, name)
        busy.faults.hang = False
        reply = await waiting.reply()
        assert reply.status == 503 and b"crashes-upstreams" in reply.body
        assert "bad-late" not in busy.received_ids
        for connection in connections:
            await connection.reply()

    run_in_environment(test, reads=2)


def test_only_the_whole_of_a_streamed_answer_clears_a_suspect():
    # An answer cleared the request when its first part had arrived.
    async def test(env):
        target, upstream = "/read/large", env.upstreams["r0"]
        upstream.faults.crash_path = target
        name = await learn_fingerprint(env, target)
        suspects = env.gateway.sender.crash_guard.ledger.by_fingerprint
        await upstream.start(upstream.address)
        upstream.faults.crash_path, upstream.faults.answer_size = "", 2_000_000
        upstream.faults.cut = 1.0
        assert not (await env.call(target, "cut")).is_complete
        assert name in suspects
        upstream.faults.cut = 0.0
        assert (await env.call(target, "whole")).is_complete
        await env.wait_until(lambda: name not in suspects)

    run_in_environment(test, reads=1)


def test_a_wrong_block_ends_by_a_trial():
    # A blocked request was refused for an hour, since nothing tried it again.
    async def test(env):
        page = "/read/page"
        request = Request(b"GET", page.encode(), [(b"host", HOST.encode())])
        block(env, request_fingerprint(request))
        assert (await env.call(page, "refused")).status == 503
        reply = await env.call(page, "refused-too")
        assert 1.0 < float(reply.headers[b"retry-after"]) < 2.0
        await curio.sleep(TRIAL_DELAYS[0] + 0.1)
        assert (await env.call(page, "trial")).status == 200
        assert (await env.call(page, "after")).status == 200
        await env.wait_until(lambda: not env.gateway.blocked_requests.unsaved)
        assert not [key for key in env.store.rows if key[0] == TABLE]

    run_in_environment(test, reads=3)


def test_a_trial_is_sent_once_and_a_harmful_request_stays_blocked():
    async def test(env):
        set_faults(env, crash_path=CRASHING)
        await send_crashing(env, 4, settle=0.2)
        before = len(crashed(env))
        await curio.sleep(TRIAL_DELAYS[0])
        assert (await env.call(CRASHING, "bad-trial")).status == 502
        assert len(crashed(env)) == before + 1
        await curio.sleep(SETTLE_SECONDS)
        assert (await env.call(CRASHING, "refused")).status == 503
        (state,) = env.gateway.blocked_requests.dump().values()
        assert state["blocked"]["withheld"] >= 1
        assert state["blocked"]["trials"] == 1 and len(state["upstreams"]) == before + 1
        reply = await env.call(CRASHING, "bad-after")
        assert reply.status == 503 and float(reply.headers[b"retry-after"]) > 5.0
        rows = [
            value
            for (table, _, key), (value, _) in env.store.rows.items()
            if table == TABLE and SEPARATOR not in key
        ]
        assert [json.loads(row)["trials"] for row in rows] == [1]

    run_in_environment(test, reads=10)


def test_a_trial_that_finds_no_upstream_is_not_taken():
    async def test(env):
        set_faults(env, crash_path=CRASHING)
        name = await learn_fingerprint(env)
        block(env, name)
        for upstream in env.upstreams.values():
            await upstream.crash()
        await curio.sleep(TRIAL_DELAYS[0] + 0.1)
        assert (await env.call(CRASHING, "unsent")).status == 503
        assert env.gateway.blocked_requests.ledger.blocks[name].trials == 0

    run_in_environment(test, reads=2)


def test_a_new_fleet_reads_from_the_store_what_is_blocked():
    async def test(env):
        row = {"blocked_at": time.time() - 5.0, "trials": len(TRIAL_DELAYS)}
        old = {"blocked_at": time.time() - 4000.0, "trials": 0}
        await env.store.put(TABLE, "known", row)
        await env.store.put(TABLE, "expired", old)
        await env.store.put(TABLE, "invalid", {"trials": "many"})
        await env.store.put(TABLE, "invalid/u1", {"at": None})
        await env.gateway.blocked_requests.load()
        assert set(env.gateway.blocked_requests.ledger.blocks) == {"known"}
        assert [key[2] for key in env.store.rows if key[0] == TABLE] == ["known"]

    run_in_environment(test)


def test_the_line_of_a_call_that_an_upstream_left_unanswered_has_its_fingerprint():
    # The line of a call could not be matched with the lines of the request that crashed upstreams.
    async def test(env):
        env.upstreams["r0"].faults.crash_path = CRASHING
        await env.call(CRASHING, "c1")
        await env.wait_until(lambda: [x for x in env.log_lines if b"request-crashed" in x])
        lines = [json.loads(line) for line in env.log_lines]
        (call,) = [line for line in lines if line["event"] == "call"]
        (crash,) = [line for line in lines if line["event"] == "request-crashed"]
        assert call["fingerprint"] == crash["fingerprint"] and crash["upstreams"] == 1

    run_in_environment(test, reads=1)
