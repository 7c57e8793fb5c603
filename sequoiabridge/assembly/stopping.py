"""The planned stop of a daemon, which finishes all work in flight."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import curio

from ..logs import get_log

if TYPE_CHECKING:
    from ..daemon import Daemon

log = get_log("daemon")

STOP_POLL_INTERVAL = 0.1
"""Seconds between two checks for work in flight."""


IDLE_GRACE = 0.5
"""Seconds for which open connections may still send a request after the last one was accepted."""


def install_signal_handlers(daemon: Daemon) -> None:
    """Begin a planned stop at SIGTERM or SIGINT; a second signal ends the process immediately."""

    def on_signal(number: int, frame: object) -> None:
        if daemon.readiness.stopping:
            raise SystemExit(1)
        daemon.readiness.stopping = True
        daemon.stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)


async def stop(daemon: Daemon) -> None:
    """Stop gracefully.

    Keeps serving until the platform's load balancer sends no more callers, finishes the calls,
    uploads and claims in flight, and leaves the fleet.
    """
    path, lag = daemon.path, daemon.settings.callers.balancer_lag
    log.info("stopping; still serving for %.1f s while the load balancer reacts", lag)
    path.deliveries.stopping = True
    await curio.sleep(lag)
    await path.callers.stop_accepting()
    await curio.sleep(IDLE_GRACE)
    path.callers.close_idle()
    await path.callers.wait_idle()
    while not (daemon.uploads.idle and path.deliveries.idle):
        await curio.sleep(STOP_POLL_INTERVAL)
    while await _open_claims(daemon) and not daemon.store.is_down:
        await curio.sleep(STOP_POLL_INTERVAL)
    await daemon.fleet.leave()
    await path.connector.close()
    log.info("stopped after finishing the calls and uploads in flight")


async def _open_claims(daemon: Daemon) -> int:
    """Try to report outcomes; return the number of claims whose outcome is not stored yet."""
    return await daemon.claims.retry_reports() + len(daemon.claims.held)
