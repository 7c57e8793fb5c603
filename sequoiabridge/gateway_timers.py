"""The periodic work of the gateway daemon."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from .balancing.limit_leases import RENEWAL_INTERVAL
from .relay.blocked_requests import SAVE_INTERVAL, TELL_INTERVAL
from .relay.crash_withdrawals import WITHDRAWAL_CHECK_INTERVAL
from .relay.lag_bound import HEARTBEAT_INTERVAL
from .relay.members import REFRESH_INTERVAL
from .relay.paths.path_checks import CHECK_INTERVAL, UPDATE_INTERVAL
from .relay.unfinished_uploads import CHECK_INTERVAL as UPLOAD_CHECK_INTERVAL
from .relay.unread import PREDECESSOR_PROBE_INTERVAL

if TYPE_CHECKING:
    from .gateway import Gateway

IDLE_SWEEP_INTERVAL = 2.0
"""Interval in seconds at which idle upstream connections are closed."""

EXPIRY_INTERVAL = 0.5
"""Interval in seconds at which lapsed upstreams are removed and buffered log lines are written."""

SHARE_INTERVAL = 0.5
"""Interval in seconds at which this VM's shares of health checks, connections and returns after
rests are updated."""

CRASH_CHECK_INTERVAL = 0.25
"""Interval in seconds at which the upstreams of abandoned attempts are checked for crashes."""

SETTINGS_POLL_INTERVAL = 1.0
"""Interval in seconds at which the settings file is polled for changes. No signal need come with a
change."""


def schedule_periodic_work(gateway: Gateway) -> None:
    """Register the periodic work with the timers."""
    timers = gateway.timers
    timers.every(IDLE_SWEEP_INTERVAL, "idle connections", gateway.connector.close_expired)
    timers.every(EXPIRY_INTERVAL, "lapsed upstreams", gateway.upstreams.expire)
    timers.every(EXPIRY_INTERVAL, "waiting lines", gateway.log_writer.flush)
    timers.every(HEARTBEAT_INTERVAL, "beacons", gateway.watchers.send_heartbeat)
    gateway.freshness.start()
    timers.every(SHARE_INTERVAL, "members", partial(update_vm_count, gateway))
    timers.every(SHARE_INTERVAL, "connections", gateway.connection_shares.update)
    timers.every(
        PREDECESSOR_PROBE_INTERVAL,
        "predecessor's calls",
        gateway.unread_calls.probe_predecessor_calls,
    )
    timers.every(CRASH_CHECK_INTERVAL, "crash checks", gateway.sender.crash_guard.check_abandoned)
    timers.every(UPLOAD_CHECK_INTERVAL, "stalled uploads", gateway.uploads.check)
    timers.every(CHECK_INTERVAL, "lost paths", gateway.paths.checks.check)
    timers.every(UPDATE_INTERVAL, "path peers", gateway.paths.checks.update)
    timers.every(WITHDRAWAL_CHECK_INTERVAL, "crash withdrawals", gateway.crash_withdrawals.check)
    timers.every(SAVE_INTERVAL, "saving blocks", gateway.blocked_requests.save)
    timers.every(TELL_INTERVAL, "telling blocks", gateway.blocked_requests.tell_some_peers)
    timers.every(RENEWAL_INTERVAL, "limit leases", gateway.permits.tick)
    # A random interval spreads the writes of VMs that have started together.
    interval = REFRESH_INTERVAL * gateway.random.uniform(0.5, 1.0)
    timers.every(interval, "member row", gateway.members.refresh)
    timers.every(SETTINGS_POLL_INTERVAL, "settings", gateway.settings_reloader.poll)


def update_vm_count(gateway: Gateway) -> None:
    """Divide the limit on health checks, and returns after rests, between the known daemons."""
    if gateway.members.peers:
        gateway.probe_limiter.vm_count = gateway.members.count
        gateway.sender.dispatch.chooser.vm_count = gateway.members.count
