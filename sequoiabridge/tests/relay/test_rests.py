"""Calls and health checks of a daemon to upstreams that asked it for rest."""

import curio
import pytest

from ...relay.attempt import MAX_TRUSTED_IDLE
from ..platform.environment import SETTINGS, document, run_in_environment
from ..platform.upstream_emulator import UpstreamEmulator

READ, APPROVE, UPLOAD = "/read/x", "/approve/x", "/upload/x"


def arrivals(upstream):
    """Return the number of calls and health checks that an upstream has received."""
    return len(upstream.requests) + upstream.probes


@pytest.mark.parametrize(
    ("target", "more", "ids"),
    [
        (READ, {}, ("r0", "r1")),
        (APPROVE, {"method": "POST", "body": b"a" * 200}, ("a0", "a1")),
        (UPLOAD, {"method": "POST", "body": b"u" * 300_000}, ("a0", "a1")),
    ],
)
def test_nothing_reaches_resting_upstreams_and_calls_are_refused_at_once(target, more, ids):
    async def test(env):
        resting = [env.upstreams[id] for id in ids]
        for upstream in resting:
            upstream.faults.rest, upstream.faults.rejected = "30", 1.0
        assert (await env.call(target, "first", **more)).status == 503
        before = [arrivals(upstream) for upstream in resting]
        began = env.gateway.clock.now()
        replies = [await env.call(target, f"c{n}", **more) for n in range(5)]
        assert {reply.status for reply in replies} == {503}
        assert all(float(reply.headers[b"retry-after"]) > 5.0 for reply in replies)
        assert env.gateway.clock.now() - began < 3.0
        assert [arrivals(upstream) for upstream in resting] == before

    run_in_environment(test)


def test_calls_go_to_the_other_upstream_also_under_a_new_configuration():
    async def test(env):
        resting = env.upstreams["r0"]
        resting.faults.rest, resting.faults.rejected = "30", 1.0
        for number in range(20):
            await env.call(READ, f"first-{number}")
        asked = env.gateway.upstreams.by_id["r0"].stats.rest.count
        before = arrivals(resting)
        await env.store.put("op", "config", document(version=2))
        await env.wait_until(lambda: env.gateway.configuration.version == 2)
        replies = [await env.call(READ, f"c{n}") for n in range(10)]
        assert asked == 1 and {reply.status for reply in replies} == {200}
        assert arrivals(resting) == before

    run_in_environment(test)


def test_a_health_check_that_asks_for_rest_is_heeded():
    async def test(env):
        upstream = env.gateway.upstreams.by_id["r0"]
        emulated = env.upstreams["r0"]
        emulated.faults.health_status, emulated.faults.health_rest = 503, "30"
        await env.gateway.prober.probe(upstream)
        probes = emulated.probes
        await env.gateway.prober.probe(upstream)
        await env.gateway.prober.probe_all([upstream], 0.1)
        assert emulated.probes == probes
        assert (await env.call(READ)).status == 503

    run_in_environment(test, reads=1)


def test_a_call_that_opens_a_new_connection_is_not_sent_if_a_rest_begins_meanwhile():
    async def test(env):
        upstream, connector = env.gateway.upstreams.by_id["a0"], env.gateway.connector
        acquire = connector.acquire

        async def acquire_slowly(address, *, fresh, timeout):
            connection = await acquire(address, fresh=fresh, timeout=timeout)
            if fresh and address == upstream.address:
                upstream.stats.rest.ask(30.0, env.gateway.clock.now())
            return connection

        assert (await env.call(APPROVE, "first", method="POST", body=b"x")).status == 200
        connector.acquire = acquire_slowly
        # A kept connection that was idle for some time is not used for such a call.
        await curio.sleep(MAX_TRUSTED_IDLE + 0.05)
        upstream.stats.load_reported_at = env.gateway.clock.now()
        reply = await env.call(APPROVE, "second", method="POST", body=b"x")
        assert upstream.stats.rest.count == 1 and reply.status == 503
        assert len(env.upstreams["a0"].requests) == 1

    run_in_environment(test, approvals=1)


class CallingUpstream(UpstreamEmulator):
    """An upstream that calls another service through the daemon while it runs a call."""

    env = None
    replies: list = []

    async def process(self, connection, request):
        self.replies.append(await self.env.call(READ, "inner"))
        return await super().process(connection, request)


def test_a_call_between_services_does_not_reach_a_resting_upstream():
    async def test(env):
        resting = env.upstreams["r0"]
        resting.faults.rest, resting.faults.rejected = "30", 1.0
        await env.call(READ, "first")
        before = arrivals(resting)
        caller = env.upstreams["caller"] = CallingUpstream("caller", "approvals", "here")
        caller.env, caller.replies = env, []
        await caller.start()
        await env.update_entry("caller")
        await env.wait_until(lambda: "caller" in env.gateway.upstreams.by_id)
        assert (await env.call(APPROVE, "outer", method="POST", body=b"x")).status == 200
        (reply,) = caller.replies
        assert reply.status == 503 and float(reply.headers[b"retry-after"]) > 5.0
        assert arrivals(resting) == before

    run_in_environment(test, reads=1, approvals=0)


def test_a_reload_of_the_settings_ends_no_rest(tmp_path):
    async def test(env):
        resting = env.upstreams["r0"]
        resting.faults.rest, resting.faults.rejected = "30", 1.0
        await env.call(READ, "first")
        before = arrivals(resting)
        reloader = env.gateway.settings_reloader
        file = tmp_path / "vm.ini"
        file.write_text(SETTINGS.format(store=env.store_address, port=1, port2=2))
        reloader.settings.source = file
        reloader.reload_requested = True
        reloader.poll()
        assert any(b'"event":"reload"' in line for line in env.log_lines)
        assert (await env.call(READ, "second")).status == 503
        assert arrivals(resting) == before

    run_in_environment(test, reads=1)
