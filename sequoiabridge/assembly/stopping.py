"""The planned stop: signals ask for it, and it cuts nothing off."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import curio

from ..logs import get_log

if TYPE_CHECKING:
    from ..daemon import Daemon

log = get_log("daemon")

STOP_POLL_INTERVAL = 0.1
"""Seconds between two looks whether all work has ended."""


def install_signal_handlers(daemon: Daemon) -> None:
    """Begin a planned stop at SIGTERM or SIGINT; a second one ends the process at once."""

    def on_signal(number: int, frame: object) -> None:
        if daemon.readiness.stopping:
            raise SystemExit(1)
        daemon.readiness.stopping = True
        daemon.stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)


async def stop(daemon: Daemon) -> None:
    """Leave the balancer, serve on for its lag, finish all in flight, leave the fleet."""
    path, lag = daemon.path, daemon.settings.callers.balancer_lag
    log.info("Stopping: out of the balancer, serving on for %.1f s.", lag)
    path.deliveries.stopping = True
    await curio.sleep(lag)
    await path.callers.stop_accepting()
    await path.callers.wait_idle()
    while not (daemon.uploads.idle and path.deliveries.idle):
        await curio.sleep(STOP_POLL_INTERVAL)
    while await _open_claims(daemon) and not daemon.store.is_down:
        await curio.sleep(STOP_POLL_INTERVAL)
    await daemon.fleet.leave()
    await path.connector.close()
    log.info("Stopped: nothing was cut off.")


async def _open_claims(daemon: Daemon) -> int:
    """Try to report outcomes; return how many claims still lack a proven one."""
    return await daemon.claims.retry_reports() + len(daemon.claims.held)
