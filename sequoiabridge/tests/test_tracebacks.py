"""Tests that calls which end early free their memory without the garbage collector."""

import gc
import weakref
from contextlib import contextmanager

import curio

from ..pipeline.buffering import ReplayableBody
from .callers.server_fixture import GET, serve, wait_until
from .platform.environment import run_in_environment


class Marker:
    """Stands for data that a call holds."""


@contextmanager
def no_garbage_collector():
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def test_a_call_whose_caller_left_holds_nothing():
    # The task kept the frames of the call, with its body, until the garbage collector ran.
    markers = []

    async def hang(request):
        marker = Marker()
        markers.append(weakref.ref(marker))
        await curio.sleep(3600)

    async def test(server, handler, connect):
        with no_garbage_collector():
            sock = await connect(GET)
            await wait_until(lambda: markers)
            await sock.close()
            await wait_until(lambda: handler.cancelled and not server.connections)
            await curio.sleep(0)
            assert markers[0]() is None

    serve(hang, test)


def count_bodies():
    return sum(isinstance(found, ReplayableBody) for found in gc.get_objects())


def test_a_refused_call_holds_no_body():
    # The call, its attempts and its refusal referred to each other.
    async def test(env):
        for upstream in env.upstreams.values():
            upstream.faults.shed = True
        with no_garbage_collector():
            reply = await env.call("/approve/x", method="POST", body=b"x" * 1000)
            assert reply.status == 503
            await env.wait_until(lambda: not count_bodies())

    run_in_environment(test)


def test_an_answered_call_holds_no_body():
    async def test(env):
        with no_garbage_collector():
            reply = await env.call("/approve/x", method="POST", body=b"x" * 1000)
            assert reply.status == 200
            await env.wait_until(lambda: not count_bodies())

    run_in_environment(test)


def test_a_call_whose_caller_left_while_it_ran_holds_no_body():
    # The check whether its upstream crashed keeps the call for some seconds.
    async def test(env):
        for upstream in env.upstreams.values():
            upstream.faults.hang = True
        with no_garbage_collector():
            connection = await env.connect()
            await connection.send("/approve/x", method="POST", body=b"x" * 1000)
            await env.wait_until(lambda: env.run_count("c1"))
            await connection.sock.close()
            await env.wait_until(lambda: not count_bodies())

    run_in_environment(test)
