"""What a daemon records of the limits that upstreams name, and what operators see of it."""

import json

import curio

from ...balancing.request_limit import LimitReport
from ...relay.request_limits import RequestLimits
from ...relay.upstreams import UpstreamList
from ...timers import ManualClock
from ..platform.environment import run_in_environment
from .fakes import decision_log, record

READ = "/read/x"


class Observed:
    """The limits of one upstream, and the log."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        log, self.lines = decision_log(self.clock)
        upstreams = UpstreamList("here", self.clock, log, lambda u: None)
        upstreams.update([record("u", born=1)], [], 1)
        self.lines.clear()
        self.upstream = upstreams.by_id["u"]
        self.limits = RequestLimits(upstreams, log, self.clock)

    def answer(self, rate, sent_at=None, problem=""):
        """Record an answer to a call that was sent at `sent_at`, by default just now."""
        sent_at = self.clock.now() if sent_at is None else sent_at
        self.limits.record_answer(self.upstream, LimitReport(rate, problem), sent_at)

    def events(self):
        """Return the events logged so far."""
        return [json.loads(line) for line in self.lines]


def test_a_limit_lasts_until_an_answer_to_a_later_call_names_none():
    observed = Observed()
    observed.answer(2.0)
    observed.answer(None, sent_at=99.9)
    assert observed.upstream.stats.request_limit.rate == 2.0
    observed.clock.advance(1.0)
    observed.answer(None)
    assert observed.upstream.stats.request_limit.rate is None
    assert [(e["event"], e["limit"], e["was"]) for e in observed.events()] == [
        ("upstream-limit", 2.0, None),
        ("upstream-limit", None, 2.0),
    ]


def test_a_health_check_may_name_a_limit_but_does_not_end_one():
    observed = Observed()
    observed.limits.record_health_answer(observed.upstream, LimitReport(3.0))
    observed.clock.advance(1.0)
    observed.limits.record_health_answer(observed.upstream, LimitReport(None))
    assert observed.upstream.stats.request_limit.rate == 3.0


def test_a_value_that_cannot_be_read_is_logged_once_and_changes_nothing():
    observed = Observed()
    observed.answer(2.0)
    for _ in range(3):
        observed.answer(None, problem="not a decimal number: b'x'")
    assert observed.upstream.stats.request_limit.rate == 2.0 and observed.limits.invalid == 3
    assert [e["event"] for e in observed.events()] == ["upstream-limit", "upstream-limit-invalid"]


def test_operators_see_each_limit_its_age_and_the_calls_that_this_vm_sent():
    async def test(env):
        limited = env.upstreams["r0"]
        limited.faults.limit = "1000"
        await env.call(READ, "first")
        permits = env.gateway.permits
        await env.wait_until(lambda: permits.choice.coordinator(env.gateway.clock.now()))
        assert [(await env.call(READ, f"c{n}")).status for n in range(2)] == [200, 200]
        operators = await env.connect(env.gateway.operators.address)
        text = (await operators.call("/metrics")).body.decode()
        assert 'sequoia_upstream_limit{upstream="r0"} 1000.0' in text
        assert 'sequoia_limited_sends_total{upstream="r0"} 2.0' in text
        assert 'sequoia_upstream_limit_age_seconds{upstream="r0"}' in text
        dumped = json.loads((await operators.call("/dump")).body)["request_limits"]["r0"]
        assert dumped["requests_per_second"] == 1000.0 and dumped["sent_here"] == 2
        assert 'sequoia_permits_total{upstream="r0"} 2.0' in text

    run_in_environment(test, reads=1)


def test_calls_beyond_a_limit_are_refused_at_once_and_return_at_different_times():
    async def test(env):
        env.upstreams["r0"].faults.limit = "2"
        await env.call(READ, "first")
        permits = env.gateway.permits
        await env.wait_until(lambda: permits.choice.coordinator(env.gateway.clock.now()))
        began, replies = env.gateway.clock.now(), []
        for number in range(30):
            replies.append(await env.call(READ, f"c{number}"))
        assert env.gateway.clock.now() - began < 5.0
        refused = [r for r in replies if r.status == 503]
        assert len(refused) >= 20 and len(env.upstreams["r0"].runs) == 1 + 30 - len(refused)
        times = [float(reply.headers[b"retry-after"]) for reply in refused]
        assert len(set(times)) > len(times) / 2 and 0.0 < min(times) <= max(times) <= 3.0

    run_in_environment(test, reads=1)


def test_a_limit_ends_everywhere_once_an_answer_names_none():
    async def test(env):
        limited = env.upstreams["r0"]
        limited.faults.limit = "20"
        await env.call(READ, "first")
        stats = env.gateway.upstreams.by_id["r0"].stats
        assert stats.request_limit.rate == 20.0
        limited.faults.limit = ""
        for number in range(200):
            await env.call(READ, f"c{number}")
            if stats.request_limit.rate is None:
                break
            await curio.sleep(0.02)
        assert stats.request_limit.rate is None
        replies = [await env.call(READ, f"d{n}") for n in range(20)]
        assert {reply.status for reply in replies} == {200}

    run_in_environment(test, reads=1)


def test_an_attempt_whose_permit_has_expired_sends_nothing():
    async def test(env):
        await env.call(READ, "first")
        upstream = env.gateway.upstreams.by_id["r0"]
        send = env.gateway.sender._start_attempt

        async def start_late(call, race, estimate):
            upstream.stats.request_limit.observe(5.0, env.gateway.clock.now())
            estimate.permit_at = env.gateway.clock.now() - 1.0
            return await send(call, race, estimate)

        env.gateway.sender._start_attempt = start_late
        reply = await env.call(READ, "late")
        assert reply.status == 503 and env.run_count("late") == 0

    run_in_environment(test, reads=1)
