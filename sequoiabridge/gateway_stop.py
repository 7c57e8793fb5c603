"""The planned stop of the gateway daemon: every call that it still takes is answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from .gateway import Gateway

POLL_INTERVAL = 0.05
"""Interval in seconds at which a planned stop checks whether all calls have ended."""


async def stop(gateway: Gateway) -> None:
    """Serve until the balancer sends no more callers, then finish the open calls."""
    gateway.begin_stop()
    clock, callers, plan = gateway.clock, gateway.callers, gateway.stop_plan
    gateway.decisions.event(
        "stop",
        in_flight=callers.in_flight,
        noticed_ms=round((clock.now() - plan.began) * 1000, 1),
        **plan.row(),
    )
    await curio.spawn(allow_for_delay, gateway, daemon=True)
    await gateway.paths.announce_stop(plan.accept_until - clock.now())
    await callers.stop_accepting()
    log_step(gateway, "accept_until", plan.accept_until)
    await curio.sleep(max(0.0, plan.take_until - clock.now()))
    callers.close_idle()
    log_step(gateway, "take_until", plan.take_until)
    while is_in_use(gateway) and clock.now() < plan.exit_at:
        callers.enlarge_send_buffers()
        await curio.sleep(POLL_INTERVAL)
    phases, cut_off = callers.dump()["phases"], callers.in_flight
    await callers.end_connections()
    await gateway.connector.close()
    gateway.decisions.event(
        "stopped",
        cut_off=cut_off,
        refused=plan.refused,
        connections=phases,
        answered_by=round(plan.answer_by - plan.began, 3),
        late_ms=round(gateway.timers.lateness.worst * 1000),
    )
    gateway.log_writer.flush()


async def allow_for_delay(gateway: Gateway) -> None:
    """Leave work undone and answer open calls earlier while the daemon is late, until cancelled.

    A late daemon takes its own delay for that of its upstreams; probes and hedges add to it.
    """
    plan, dispatch = gateway.stop_plan, gateway.sender.dispatch
    while True:
        now = gateway.clock.now()
        plan.allow_for_delay(now)
        dispatch.stop_at = plan.answer_by
        dispatch.hedging_paused = gateway.prober.paused = plan.lateness.is_late(now)
        await curio.sleep(POLL_INTERVAL)


def log_step(gateway: Gateway, step: str, due_at: float) -> None:
    """Log that a step of the stop has been taken, how late, and what is open."""
    callers, now = gateway.callers, gateway.clock.now()
    gateway.decisions.event(
        "stop-step",
        step=step,
        late_ms=round((now - due_at) * 1000, 1),
        in_flight=callers.in_flight,
        connections=callers.dump()["phases"],
    )


def is_in_use(gateway: Gateway) -> bool:
    """Return whether callers, or peers whose calls this VM forwards, still have connections."""
    return bool(gateway.callers.open_connections or gateway.paths.port.tunnels)
