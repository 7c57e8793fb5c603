"""Calls and health checks of a daemon to upstreams that asked it for rest."""

import pytest

from ..platform.environment import document, run_in_environment

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
