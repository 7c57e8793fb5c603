"""End-to-end tests of calls while this VM's connections to upstreams are in use."""

import json

from ...balancing.exclusion import Exclusion
from ...balancing.send_policy import FreeConnections
from ...exceptions import NoFreeConnection
from ...relay.connection_shares import MAX_CONNECTIONS_PER_UPSTREAM
from .environment import run_in_environment

MAX_REFUSAL_SECONDS = 0.5
"""Maximum time after which a call that no upstream can take is refused."""


async def occupy(env, ids):
    """Take all connections to the upstreams; return them."""
    connector, taken = env.gateway.connector, []
    for id in ids:
        address = env.gateway.upstreams.by_id[id].address
        try:
            while True:
                taken.append(await connector.acquire(address, fresh=True, timeout=1.0))
        except NoFreeConnection:
            pass
    return taken


def call_lines(env):
    """Return the lines of the decision log on calls, by id."""
    lines = [json.loads(line) for line in env.log_lines]
    return {line["id"]: line for line in lines if line["event"] == "call"}


def test_calls_go_to_the_only_upstream_to_which_a_connection_is_free():
    # They were refused with "no attempt left" after four attempts that sent nothing.
    async def test(env):
        await occupy(env, ["r0", "r1", "r2", "r3", "r4"])
        for n in range(12):
            assert (await env.call("/read/x", f"c{n}")).status == 200
        for line in call_lines(env).values():
            assert [attempt["upstream"] for attempt in line["attempts"]] == ["r5"]

    run_in_environment(test, reads=6)


def test_a_call_is_refused_soon_and_not_sent_while_no_connection_is_free():
    async def test(env):
        await occupy(env, ["r0", "r1"])
        started = env.gateway.clock.now()
        assert (await env.call("/read/x", "c1")).status == 503
        assert env.gateway.clock.now() - started < MAX_REFUSAL_SECONDS
        line = call_lines(env)["c1"]
        assert line["refused"] == "queue-full" and not line["attempts"]
        assert line["excluded"] == {"r0": "no-connection", "r1": "no-connection"}

    run_in_environment(test)


class LostConnections(FreeConnections):
    """Takes connections for free; the share grows once an attempt has found none."""

    def __init__(self, gateway):
        self.gateway = gateway

    def has_free(self, upstream):
        if Exclusion.NO_CONNECTION in self.gateway.send_policy.counts:
            self.gateway.connector.set_share(upstream.address, 2 * MAX_CONNECTIONS_PER_UPSTREAM)
        return True


def test_a_call_that_lost_the_last_connection_to_another_one_is_sent_to_the_same_upstream():
    async def test(env):
        await occupy(env, ["a0"])
        env.gateway.send_policy.connections = LostConnections(env.gateway)
        assert (await env.call("/approve/x", "c1", method="POST", body=b"x")).status == 200
        endings = [attempt["ending"] for attempt in call_lines(env)["c1"]["attempts"]]
        assert endings == ["not-sent", "answered"] and env.run_count("c1") == 1

    run_in_environment(test, approvals=1)
