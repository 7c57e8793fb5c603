"""What operators see of retries, their limit and abandoned calls."""

import json

from ..platform.environment import run_in_environment

READ = "/read/x"


def test_operators_can_compare_what_the_retry_budget_granted_with_what_was_sent():
    async def test(env):
        for upstream in env.upstreams.values():
            upstream.faults.fail = 1.0
        await env.call(READ)
        operators = await env.connect(env.gateway.operators.address)
        text = (await operators.call("/metrics")).body.decode()
        assert 'sequoia_service_sends_total{service="reads"} 2.0' in text
        assert 'sequoia_service_repeats_total{service="reads"} 1.0' in text
        assert 'sequoia_retry_tokens_total{service="reads"} 1.0' in text
        assert 'sequoia_retry_tokens_refused_total{service="reads"} 0.0' in text
        budget = json.loads((await operators.call("/dump")).body)["retry_budgets"]["reads"]
        assert budget["retries_settled_in_window"] == 1 and budget["calls_in_window"] == 1

    run_in_environment(test)


def test_the_answer_of_a_silent_upstream_tells_how_many_calls_were_abandoned_there():
    async def test(env):
        silent = env.upstreams["r0"]
        silent.faults.hang = silent.faults.health_hangs = True
        await env.call(READ, timeout_ms=600)
        upstream = env.gateway.upstreams.by_id["r0"]
        stats = upstream.stats
        await env.gateway.prober.probe(upstream)
        assert stats.abandoned_calls > 0 and stats.unanswered_probes
        silent.faults.health_hangs = False
        await env.gateway.prober.probe(upstream)
        lines = [json.loads(line) for line in env.log_lines]
        answers = [line for line in lines if line["event"] == "upstream-answers"]
        assert answers[-1]["abandoned_calls"] > 0 and stats.abandoned_calls == 0

    run_in_environment(test, reads=1)
