"""The row of a running daemon in the table of daemons."""

from ...relay.members import TABLE
from .environment import run_in_environment


def test_a_running_daemon_writes_its_row_again():
    async def test(env):
        gateway = env.gateway
        await env.wait_until(lambda: gateway.members.joined)
        (before,) = (await gateway.store.rows(TABLE)).rows
        (timer,) = [one for *_, one in gateway.timers.heap if one.name == "member row"]
        await timer.callback()
        (after,) = (await gateway.store.rows(TABLE)).rows
        assert after.value == before.value and after.version > before.version

    run_in_environment(test)
