"""Builds the admin port, through which operators control a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..daemon_metrics import (
    declare_call_metrics,
    declare_fleet_metrics,
    declare_store_metrics,
    declare_upload_metrics,
)
from ..operators.admin import AdminLimits, AdminServer
from ..operators.dump import StateDump
from ..operators.executor import Executor
from ..operators.gather import Gatherer, Peer
from ..operators.releases import DaemonReleaser
from ..operators.routes import AdminRoutes
from ..operators.state import DaemonRowSource

if TYPE_CHECKING:
    from ..daemon import Daemon


def build_admin(daemon: Daemon) -> AdminServer:
    """Return the admin port of a daemon; its other components must have been built."""
    token = daemon.settings.admin.token
    dump = StateDump(daemon.vm, daemon.components, [token, *daemon.settings.fleet.key.split()])
    routes = AdminRoutes(token, daemon.readiness, daemon.metrics, dump, build_executor(daemon))
    limits = AdminLimits()
    limits.max_connections = daemon.machine_limits.operator_connections(limits.max_connections)
    return AdminServer(daemon.settings.admin.address, routes, limits, daemon.memory)


def build_executor(daemon: Daemon) -> Executor:
    """Return the executor of the operators' commands."""
    clock, services, fleet = daemon.clock, daemon.services, daemon.fleet
    state = DaemonRowSource(
        daemon.vm,
        clock,
        daemon.configuration.document,
        services,
        fleet,
        daemon.readiness,
        daemon.versions,
        daemon.claim_admin,
        daemon.uploads,
        daemon.journal,
    )
    releases = DaemonReleaser(services, daemon.claim_admin, fleet, clock, daemon.uploads)
    gatherer = Gatherer(lambda: list_admin_peers(daemon), daemon.settings.admin.token)
    return Executor(
        daemon.vm, clock, state, daemon.configuration, releases, daemon.journal, gatherer
    )


def list_admin_peers(daemon: Daemon) -> list[Peer]:
    """Return the admin ports of the other VMs; all VMs use the same port number."""
    port = daemon.admin.address.rpartition(":")[2]
    others = daemon.fleet.membership.live()
    return [Peer(m.name, f"{m.address.rpartition(':')[0]}:{port}") for m in others]


def declare_daemon_metrics(daemon: Daemon) -> None:
    """Declare the metrics of all components."""
    metrics, path = daemon.metrics, daemon.path
    declare_call_metrics(metrics, path.services, path.callers)
    declare_fleet_metrics(metrics, daemon.fleet, daemon.configuration, daemon.readiness)
    declare_store_metrics(metrics, daemon.store, daemon.claims)
    declare_upload_metrics(metrics, daemon.uploads, path.deliveries)
