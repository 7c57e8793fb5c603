"""How the callers of the soak use their connections."""

from .limit_soak import LimitSoak
from .retry_soak import MAX_REUSE_IDLE


def test_a_connection_that_the_daemon_may_have_closed_is_not_used_again():
    # Calls on connections idle for 17 s, which the daemon closes after 15 s, counted as cut off.
    soak = LimitSoak(1, 1.0, 1)
    soak.now = lambda: 100.0
    daemon = type("Daemon", (), {"name": "vm-0"})()
    soak.idle_connections["vm-0"] = [(99.0 - MAX_REUSE_IDLE, "old"), (99.0, "recent")]
    assert soak.usable_connections(daemon) == [(99.0, "recent")]
    soak.close()
