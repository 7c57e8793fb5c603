"""What operators see of upstreams that ask for rest or leave."""

import json

from ..platform.environment import run_in_environment

READ = "/read/x"


def events(env, name):
    """Return the lines of the decision log of one event."""
    lines = [json.loads(line) for line in env.log_lines]
    return [line for line in lines if line["event"] == name]


def test_operators_see_each_rest_and_the_calls_that_were_sent_in_it():
    async def test(env):
        upstream = env.upstreams["r0"]
        upstream.faults.rest, upstream.faults.rejected = "30", 1.0
        await env.call(READ, "first")
        (event,) = events(env, "upstream-rest")
        assert event["upstream"] == "r0" and event["seconds"] == 30.0 and event["left"] == 0.0
        operators = await env.connect(env.gateway.operators.address)
        text = (await operators.call("/metrics")).body.decode()
        assert 'sequoia_upstream_rests_total{upstream="r0"} 1.0' in text
        assert 'sequoia_upstream_rest_seconds{upstream="r0"} 29.' in text
        assert 'sequoia_rest_sends_total{upstream="r0"} 0.0' in text
        dumped = json.loads((await operators.call("/dump")).body)["notices"]["rests"]["r0"]
        await env.call(READ, "second")
        text = (await operators.call("/metrics")).body.decode()
        assert 'sequoia_rest_withheld_total{upstream="r0"}' in text
        assert env.gateway.upstreams.by_id["r0"].stats.rest.withheld >= 1
        assert 29.0 < dumped["seconds_left"] < 30.0 and dumped["sent_in_rest"] == 0

    run_in_environment(test, reads=1)


def test_operators_see_since_when_an_upstream_leaves_and_who_told():
    async def test(env):
        env.upstreams["r0"].faults.leaving = "1"
        await env.call(READ, "first")
        (event,) = events(env, "upstream-leaving")
        assert event["upstream"] == "r0"
        operators = await env.connect(env.gateway.operators.address)
        text = (await operators.call("/metrics")).body.decode()
        assert 'sequoia_upstream_leaving_seconds{upstream="r0"}' in text
        assert 'sequoia_leaving_sends_total{upstream="r0"}' in text
        dumped = json.loads((await operators.call("/dump")).body)["notices"]["departures"]["r0"]
        assert dumped["told_by"] == event["told_by"]

    run_in_environment(test, reads=1)


def test_a_value_that_cannot_be_read_is_logged_once_and_harms_no_call():
    async def test(env):
        faults = env.upstreams["r0"].faults
        faults.leaving = "soon"
        assert [(await env.call(READ, f"c{n}")).status for n in range(5)] == [200] * 5
        faults.rest, faults.rejected = "Fri, 04 Dec 2026 10:00:00 GMT", 1.0
        assert [(await env.call(READ, f"d{n}")).status for n in range(5)] == [503] * 5
        faults.rejected = 0.0
        assert [(await env.call(READ, f"e{n}")).status for n in range(5)] == [200] * 5
        assert len(events(env, "upstream-leaving-invalid")) == 1
        assert len(events(env, "upstream-rest-invalid")) == 1
        assert env.gateway.rests.invalid >= 5 and env.gateway.departures.invalid >= 5

    run_in_environment(test, reads=1)


def test_a_header_that_no_part_reads_is_logged_once_and_counted():
    # Three headers in a row were on the users' pages and read by nobody, and no log showed it.
    async def test(env):
        env.upstreams["r0"].faults.more_headers = {"server-mood": "calm", "date": "today"}
        replies = [await env.call(READ, f"c{n}") for n in range(3)]
        assert {reply.status for reply in replies} == {200}
        (event,) = events(env, "upstream-header-unknown")
        assert event["header"] == "server-mood" and event["upstream"] == "r0"
        assert env.gateway.notices.unknown_headers.count == 3

    run_in_environment(test, reads=1)
