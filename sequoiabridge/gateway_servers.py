"""Builds the gateway daemon's servers for callers and for readiness checks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .callers.limits import CallerLimits
from .callers.server import CallerServer
from .relay.readiness import MAX_READINESS_CONNECTIONS, SWEEP_INTERVAL, ReadyHandler

if TYPE_CHECKING:
    from .gateway import Gateway

CALLER_POLL_INTERVAL = 0.2
"""Interval in seconds at which callers are checked for having disconnected. The work of a caller
that has left must end within half a second."""


def build_callers_port(gateway: Gateway) -> CallerServer:
    """Return the server of the callers' port."""
    limits = CallerLimits()
    gateway.machine_limits.apply_to(limits)
    return CallerServer(
        gateway.relay,
        limits,
        gateway.clock,
        gateway.relay.next_id,
        gateway.dialect.refusal,
        cancel_on_half_close=True,
        sweep_interval=CALLER_POLL_INTERVAL,
        memory=gateway.memory,
    )


def build_readiness_port(gateway: Gateway) -> CallerServer:
    """Return the server of the port for readiness checks."""
    count = gateway.machine_limits.readiness_connections(MAX_READINESS_CONNECTIONS)
    return CallerServer(
        ReadyHandler(gateway.readiness),
        CallerLimits(max_connections=count),
        gateway.clock,
        gateway.relay.next_id,
        sweep_interval=SWEEP_INTERVAL,
        memory=gateway.memory,
    )
