"""Upstreams that count as crashed and answer again, behind a daemon with an emulated store."""

import curio

from ...relay import block_trials
from ...relay.block_table import TABLE
from ..platform.environment import run_in_environment

PAGE = "/read/page"

UPSTREAMS = 3
"""As many as must have crashed with a request before it is blocked."""


def reads(env):
    """Return the upstreams that run the page."""
    return [upstream for upstream in env.upstreams.values() if upstream.service == "reads"]


async def give_start_times(env):
    """List the upstreams with the time of their start."""
    for number, upstream in enumerate(env.upstreams.values()):
        upstream.born = 1000 + number
        await env.update_entry(upstream.id)
    await env.wait_until(
        lambda: all(one.record.born for one in env.gateway.upstreams.by_id.values())
    )


async def block_by_silence(env):
    """Let upstreams fall silent when they run the page, until it is blocked."""
    for upstream in reads(env):
        upstream.faults.crash_path, upstream.faults.crash_is_silent = PAGE, True
    blocks = env.gateway.blocked_requests.ledger.blocks
    for number in range(20):
        await env.call(PAGE, f"page-{number}", timeout_ms=200)
        await env.call("/approve/x", f"other-{number}", method="POST", body=b"x")
        await curio.sleep(0.7)
        if blocks:
            for upstream in reads(env):
                upstream.faults.crash_path = ""
            return
    raise AssertionError("the page has not been blocked")


def test_a_block_ends_when_upstreams_that_were_only_suspended_answer_again(monkeypatch):
    # A page was refused until a trial was answered, which can take a minute.
    monkeypatch.setattr(block_trials, "TRIAL_DELAYS", (1000.0,))

    async def test(env):
        await give_start_times(env)
        await block_by_silence(env)
        assert (await env.call(PAGE, "refused")).status == 503
        for upstream in reads(env):
            upstream.is_silent = False
        await env.wait_until(lambda: not env.gateway.blocked_requests.ledger.blocks)
        assert (await env.call(PAGE, "served")).status == 200
        await env.wait_until(lambda: not env.gateway.blocked_requests.unsaved)
        assert not [key for key in env.store.rows if key[0] == TABLE]

    run_in_environment(test, reads=UPSTREAMS)


def test_an_answer_removes_the_crash_that_is_left_when_the_others_were_withdrawn(monkeypatch):
    # One crash alone counted as not stored, so that its row stayed.
    monkeypatch.setattr(block_trials, "TRIAL_DELAYS", (1000.0,))

    async def test(env):
        await give_start_times(env)
        await block_by_silence(env)
        silent, *others = reads(env)
        for upstream in others:
            upstream.is_silent = False
        withdrawals = env.gateway.crash_withdrawals
        await env.wait_until(lambda: withdrawals.withdrawn == len(others))
        await env.wait_until(lambda: not env.gateway.blocked_requests.unsaved)
        assert [key for key in env.store.rows if key[0] == TABLE]
        assert (await env.call(PAGE, "served")).status == 200
        await env.wait_until(lambda: not env.gateway.blocked_requests.unsaved)
        assert not [key for key in env.store.rows if key[0] == TABLE]

    run_in_environment(test, reads=UPSTREAMS)


def test_no_trial_is_sent_to_an_upstream_that_does_not_answer(monkeypatch):
    # Two of three trials were spent on upstreams that were known to be silent.
    monkeypatch.setattr(block_trials, "TRIAL_DELAYS", (0.1,))

    async def test(env):
        await give_start_times(env)
        await block_by_silence(env)
        await curio.sleep(1.0)
        before = env.gateway.blocked_requests.trials.taken
        for number in range(3):
            assert (await env.call(PAGE, f"refused-{number}")).status == 503
            await curio.sleep(block_trials.STORE_RETRY_DELAY)
        assert env.gateway.blocked_requests.trials.taken == before == 0

    run_in_environment(test, reads=UPSTREAMS)


def test_an_upstream_that_answers_in_a_new_lifetime_has_crashed(monkeypatch):
    monkeypatch.setattr(block_trials, "TRIAL_DELAYS", (1000.0,))

    async def test(env):
        await give_start_times(env)
        await block_by_silence(env)
        for upstream in reads(env):
            upstream.is_silent = False
        await curio.sleep(1.0)  # The list shows the start later than the upstream answers.
        for upstream in reads(env):
            upstream.born += 5000
            await env.update_entry(upstream.id)
        await curio.sleep(4.0)
        assert env.gateway.blocked_requests.ledger.blocks
        assert env.gateway.crash_withdrawals.withdrawn == 0

    run_in_environment(test, reads=UPSTREAMS)
