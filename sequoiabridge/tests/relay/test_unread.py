"""A call that was given up keeps its retry token until its upstream has read it or is gone."""

import socket
import struct

import curio

from ...relay import unread
from ..platform.environment import run_in_environment

READ = "/read/x"
TIMEOUT_MS = 4000


async def send_to_stopped_upstream(env, listener, call_id):
    """Send a call to an upstream that reads nothing; return the caller's connection."""
    env.upstreams["r0"].address = "{}:{}".format(*listener.getsockname())
    await env.update_entry("r0")
    await curio.sleep(0.1)
    caller = await env.connect()
    await caller.send(READ, call_id, timeout_ms=TIMEOUT_MS)
    await env.wait_until(lambda: env.gateway.upstreams.by_id["r0"].stats.open_calls)
    return caller


async def give_up_a_call(env, listener):
    """Send a call to an upstream that reads nothing, and let a second one answer it."""
    caller = await send_to_stopped_upstream(env, listener, "given-up")
    await env.add_upstream("r1", "reads")
    assert (await caller.reply()).status == 200
    await curio.sleep(0.4)


def open_listener():
    """Return a socket whose connections the kernel accepts and nobody reads."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=64)
    listener.setblocking(False)
    return listener


def test_the_token_of_a_call_at_a_stopped_upstream_is_in_use_although_its_connection_is_closed():
    async def test(env):
        with open_listener() as listener:
            await give_up_a_call(env, listener)
            budget = env.gateway.sender.dispatch.budgets["reads"]
            await curio.sleep(1.0)
            assert budget.unsettled == 1 and env.gateway.sender.unread_calls.count == 1
            data = b""
            for _ in range(20):
                connection, _ = listener.accept()
                data += connection.recv(65536)
                connection.close()
                if b"given-up" in data:
                    return
            raise AssertionError("the stopped upstream did not read the call")

    run_in_environment(test, reads=1)


def test_the_token_of_a_call_is_settled_when_the_upstream_answers_something_sent_later():
    async def test(env):
        with open_listener() as listener:
            await give_up_a_call(env, listener)
            budget = env.gateway.sender.dispatch.budgets["reads"]
            upstream = env.gateway.upstreams.by_id["r0"]
            assert budget.unsettled == 1
            upstream.stats.record_settled(env.gateway.clock.now())
            await env.wait_until(lambda: budget.unsettled == 0, seconds=2.0)

    run_in_environment(test, reads=1)


def test_the_token_of_a_call_is_settled_when_the_upstream_counts_as_dead(monkeypatch):
    monkeypatch.setattr(unread, "MAX_UNREAD_SECONDS", 0.5)

    async def test(env):
        with open_listener() as listener:
            await give_up_a_call(env, listener)
            budget = env.gateway.sender.dispatch.budgets["reads"]
            await env.wait_until(lambda: budget.unsettled == 0, seconds=2.0)
            assert any(b'"call-unread"' in line for line in env.log_lines)

    run_in_environment(test, reads=1)


def test_the_token_of_a_call_is_in_use_when_its_connection_to_a_stopped_upstream_was_reset():
    # A call whose connection broke was taken to have arrived, or to be lost.
    async def test(env):
        with open_listener() as listener:
            caller = await send_to_stopped_upstream(env, listener, "broken")
            await curio.sleep(0.1)
            await env.add_upstream("r1", "reads")
            await env.wait_until(lambda: "r1" in env.gateway.upstreams.by_id)
            reset_all(listener)
            assert (await caller.reply()).status == 200
            await curio.sleep(0.5)
            assert env.gateway.sender.dispatch.budgets["reads"].unsettled == 1
            listener.close()
            budget = env.gateway.sender.dispatch.budgets["reads"]
            await env.wait_until(lambda: budget.unsettled == 0, seconds=4.0)

    run_in_environment(test, reads=1)


def reset_all(listener):
    """Reset all connections without reading from them."""
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
