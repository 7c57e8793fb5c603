"""The hop through the whole daemon: filters, policy, journal and metrics included.

Starts a stand-in platform and one daemon beside the processes of `hop`, and has that measure the
daemon in place of the forwarding relay.
"""

import secrets

import defopt

from . import hop
from .processes import Trial
from .scene import PLATFORM, Scene


def configuration(trial: Trial, upstream: str):
    """Write a fleet configuration with one service, one upstream and one rule."""
    return trial.write_ini(
        "fleet.ini",
        {
            "service hop": {"queue_limit": 1000, "caller_share": 1.0},
            "pool hop": {"service": "hop", "slots": 1000, "connections": 2000},
            "upstream hop-1": {"pool": "hop", "address": upstream},
            "rule reads": {
                "service": "hop",
                "methods": "GET",
                "idempotent": "yes",
                "hedge": "yes",
                "key": "ignored",
                "kind": "read",
            },
            "rule uploads": {
                "service": "hop",
                "methods": "POST, PUT",
                "kind": "upload",
                "upload": "stream",
                "max_body": "1GB",
                "window": "10m",
            },
        },
    )


def run(*, calls: int = 6000, turns: int = 30, callers: int = 200, megabytes: int = 100) -> None:
    """Measure the hop through one daemon.

    :param calls: calls each way, one at a time
    :param turns: turns they are split into
    :param callers: callers at once in the second part; 0 leaves it out
    :param megabytes: size of the upload in the third part; 0 leaves it out
    """
    upstream = hop.Process("hop_upstream")
    try:
        with Trial() as trial:
            scene = Scene(trial, daemons=1, balancer_lag="100ms")
            scene.token = secrets.token_hex(16)
            scene.platform = trial.start("platform", PLATFORM, "--address=127.0.0.1:0")
            scene.platform.wait_ready()
            daemon = scene.daemons[0]
            scene.start_daemon(daemon)
            scene.wait_for("/live", [daemon])
            scene.apply(configuration(trial, upstream.address))
            scene.wait_ready([daemon])
            hop.run(
                calls=calls,
                turns=turns,
                callers=callers,
                megabytes=megabytes,
                daemon=daemon.callers,
                pid=daemon.process.child.pid,
                upstream=upstream.address,
                upstream_pid=upstream.pid,
            )
    finally:
        upstream.stop()


if __name__ == "__main__":
    defopt.run(run)
