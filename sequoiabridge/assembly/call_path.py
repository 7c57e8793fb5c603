"""Builds the components that calls pass through, from the callers' port to the upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..callers.limits import CallerLimits
from ..callers.server import CallerServer
from ..config.settings import Settings
from ..pipeline.admit import Admit
from ..pipeline.base import Filter
from ..pipeline.buffering import Buffering
from ..pipeline.claiming import Claiming
from ..pipeline.crash_guard import CrashGuard
from ..pipeline.dispatch import Dispatch
from ..pipeline.drain_checks import DrainChecker
from ..pipeline.identify import Identify
from ..pipeline.match import Match
from ..pipeline.pipeline import Pipeline, RequestIds
from ..pipeline.probing import Probing
from ..pipeline.record import Record
from ..pipeline.services import Services
from ..pipeline.sharing import Sharing
from ..pipeline.spool import Spool
from ..pipeline.upload_sender import UploadSender
from ..pipeline.uploads import UploadHandler
from ..store.upload_delivery import UploadDeliverer
from ..store.upload_orphans import UploadCleaner
from ..upstreams.connections import ConnectorLimits, HttpConnector
from ..upstreams.probes import Prober

if TYPE_CHECKING:
    from ..daemon import Daemon


class CallPath:
    """The components that calls and uploads pass through."""

    def __init__(self, daemon: Daemon):
        clock, fleet = daemon.clock, daemon.fleet
        self.connector = HttpConnector(clock, ConnectorLimits())
        self.services = Services(clock, daemon.random, self.connector.set_share, fleet.live_count)
        self.sharing = Sharing(daemon.vm, self.services, fleet, daemon.metrics, clock)
        prober = Prober(self.connector, clock)
        self.probing = Probing(self.services, prober, daemon.metrics, self.sharing, clock)
        self.drain_checker = DrainChecker(self.services, prober, self.sharing, clock)
        self.admit = Admit(self.services, clock)
        ids = RequestIds(daemon.vm, fleet.membership.own_member.incarnation)
        self.pipeline = Pipeline(self._filters(daemon), self._dispatch(daemon), ids, clock)
        limits = caller_limits(daemon.settings)
        daemon.machine_limits.apply_to(limits)
        self.callers = CallerServer(self.pipeline, limits, clock, ids.next, memory=daemon.memory)
        sender = UploadSender(self.services, self.connector, self.sharing, clock)
        self.deliveries = UploadDeliverer(daemon.uploads, sender.send, clock)
        self.orphans = UploadCleaner(daemon.uploads)

    def _filters(self, daemon: Daemon) -> list[Filter]:
        """Return the filters that each call passes through, in this order."""
        return [
            Record(daemon.metrics, daemon.journal, daemon.clock),
            Identify(),
            Match(daemon.configuration.document, daemon.readiness.why_not_serving),
            Buffering(),
            CrashGuard(self.services, daemon.clock),
            Spool(UploadHandler(daemon.uploads)),
            self.admit,
            Claiming(daemon.claims),
        ]

    def _dispatch(self, daemon: Daemon) -> Dispatch:
        return Dispatch(
            self.services,
            self.connector,
            daemon.clock,
            self.sharing,
            self.probing.probe_before_choice,
        )


def caller_limits(settings: Settings) -> CallerLimits:
    """Return the limits for callers from the settings."""
    callers = settings.callers
    return CallerLimits(
        max_head=callers.max_head,
        max_connections=callers.max_connections,
        idle_timeout=callers.idle_timeout,
        head_timeout=callers.head_timeout,
        body_timeout=callers.body_timeout,
    )
