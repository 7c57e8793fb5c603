"""The start of the gateway daemon: its ports first, then what follows the store and the peers."""

from __future__ import annotations

import gc
import logging
import os
from typing import TYPE_CHECKING

from .gateway_timers import schedule_periodic_work
from .logs import ROOT_LOGGER, silence_curio_timeouts
from .relay.decisions import DecisionLogHandler

if TYPE_CHECKING:
    from .gateway import Gateway


async def start(gateway: Gateway) -> None:
    """Listen first, so that no connection is refused, then start the other parts."""
    # What libraries log must not go to standard error, where a write may block.
    logging.getLogger().addHandler(DecisionLogHandler(gateway.decisions))
    logging.getLogger(ROOT_LOGGER).setLevel(logging.INFO)
    silence_curio_timeouts()
    settings = gateway.settings
    gateway.ready.bind(settings.listen.ready)
    gateway.callers.bind(settings.listen.callers)
    run = gateway.tasks.start
    await run("readiness port", gateway.ready.serve)
    await run("callers port", gateway.callers.serve)
    for follower in gateway.followers.values():
        await run(follower.name, follower.run)
    await run("watchers", gateway.watchers.run)
    await gateway.operators.start()
    gateway.sharing.channel.bind(gateway.members.own_hello.address)
    await run("channel", gateway.sharing.channel.run)
    await run("members", gateway.members.join)
    await gateway.paths.start(gateway.members.own_hello.address)
    if not settings.vm.first_start:
        await run("blocked requests", gateway.blocked_requests.load)
    schedule_periodic_work(gateway)
    await run("timers", gateway.timers.run)
    gateway.decisions.event("start", pid=os.getpid(), callers=settings.listen.callers)
    # Objects made at the start live as long as the daemon; the collector can skip them.
    gc.collect()
    gc.freeze()
