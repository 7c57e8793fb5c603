"""The planned stop of the gateway daemon: every call that it still takes is answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from .relay.stop_plan import StopPlan

if TYPE_CHECKING:
    from .gateway import Gateway

POLL_INTERVAL = 0.05
"""Interval in seconds at which a planned stop checks whether all calls have ended."""


async def stop(gateway: Gateway) -> None:
    """Serve until the balancer sends no more callers, then finish the open calls."""
    clock, callers = gateway.clock, gateway.callers
    plan = StopPlan(clock.now(), gateway.settings.bounds.grace)
    gateway.decisions.event("stop", in_flight=callers.in_flight, **plan.row())
    gateway.relay.stop_plan = plan
    gateway.sender.dispatch.stop_at = plan.answer_by
    callers.announce_stop()
    await gateway.paths.announce_stop(plan.accept_until - clock.now())
    await callers.stop_accepting()
    await curio.sleep(max(0.0, plan.take_until - clock.now()))
    callers.close_idle()
    while is_in_use(gateway) and clock.now() < plan.exit_at:
        await curio.sleep(POLL_INTERVAL)
    await gateway.connector.close()
    gateway.decisions.event("stopped", cut_off=callers.in_flight, refused=plan.refused)
    gateway.log_writer.flush()


def is_in_use(gateway: Gateway) -> bool:
    """Return whether callers, or peers whose calls this VM forwards, still have connections."""
    return bool(gateway.callers.open_connections or gateway.paths.port.tunnels)
