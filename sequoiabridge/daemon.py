"""Puts the parts of one daemon together, runs them, and stops them without cutting anything off."""

from __future__ import annotations

import gc
import signal
from random import Random

import curio

from .callers.limits import CallerLimits
from .callers.server import CallerServer
from .config.document import Document
from .config.settings import Settings
from .configuration import ConfigurationInForce
from .fleet.fleet import FleetNode
from .fleet.wire import parse_keys
from .logs import get_log
from .metrics import Metrics
from .operators.admin import AdminServer
from .operators.dump import Dump
from .operators.executor import Executor
from .operators.gather import Gatherer, Peer
from .operators.journal import Journal
from .operators.releases import DaemonReleases
from .operators.routes import Routes
from .operators.state import DaemonState
from .parts import Part
from .pipeline.admit import Admit
from .pipeline.buffering import Buffering
from .pipeline.claiming import Claiming
from .pipeline.dispatch import Dispatch
from .pipeline.identify import Identify
from .pipeline.match import Match
from .pipeline.pipeline import Pipeline, RequestIds
from .pipeline.probing import Probing
from .pipeline.record import Record
from .pipeline.returning import Returning
from .pipeline.services import Services
from .pipeline.sharing import Sharing
from .pipeline.spool import Spool
from .pipeline.stopping import CrashStop
from .pipeline.upload_sender import UploadSender
from .pipeline.uploads import UploadHandler
from .readiness import DaemonReadiness
from .readings import declare_fleet, declare_path, declare_store, declare_uploads
from .store.claim_admin import ClaimAdmin
from .store.claims import Claims
from .store.client import StoreClient
from .store.http import HttpObjects, HttpTables, HttpVmList
from .store.upload_delivery import Deliveries
from .store.upload_orphans import Orphans
from .store.uploads import Uploads
from .store.versions import Versions
from .timers import Clock, SystemClock, Timers
from .upstreams.connections import ConnectorLimits, HttpConnector
from .upstreams.probes import Prober

log = get_log("daemon")

IDLE_SWEEP = 5.0
"""Seconds between two looks for connections that have been idle too long."""

DELIVER_EVERY = 1.0
"""Seconds between two looks for uploads to deliver."""

COLLECT_EVERY = 30.0
"""Seconds between two steps of the removal of orphan chunks."""

LIST_EVERY = 5.0
"""Seconds between two looks at the platform's VM list."""

LIST_TIMEOUT = 1.0

STOP_LOOK = 0.1
"""Seconds between two looks whether all work has ended."""


class Daemon:
    """One daemon: built from its settings, run once."""

    def __init__(self, settings: Settings, clock: Clock | None = None):
        self.settings = settings
        self.vm = settings.vm.name
        self.clock = clock or SystemClock()
        self.timers = Timers(self.clock)
        self.random = Random()
        self.metrics = Metrics()
        self.journal = Journal(self.clock, self.vm)
        self.fleet = self._fleet()
        self._build_store()
        self.uploads = Uploads(self.store, self.store.objects, self.clock, self.vm)
        self._build_path()
        self._build_uploads()
        self._build_operators()
        self._declare_metrics()
        self.stop_asked = curio.UniversalEvent()

    def parts(self) -> list[Part]:
        """Return what the state dump shows."""
        return [
            self.callers,
            self.services,
            self.connector,
            self.fleet,
            self.configuration,
            self.sharing,
            self.store,
            self.claims,
            self.uploads,
            self.deliveries,
            self.orphans,
            self.admin,
            self.metrics,
            self.journal,
        ]

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then stop in order; return the exit code."""
        self._catch_signals()
        await self._start()
        log.info("VM %s serves callers on %s.", self.vm, self.callers.address)
        await self.stop_asked.wait()
        await self._stop()
        return 0

    # Building.

    def _fleet(self) -> FleetNode:
        settings = self.settings
        return FleetNode(
            self.vm,
            settings.vm.data_centre,
            settings.fleet.address,
            settings.fleet.seeds,
            parse_keys(settings.fleet.key),
            self.timers,
            self.clock,
            Random(),
            settings.fleet.bytes_per_second,
        )

    def _build_store(self) -> None:
        platform = self.settings.platform
        self.vm_list = HttpVmList(platform.list, self.clock)
        self.store = StoreClient(
            HttpTables(platform.tables, self.clock),
            HttpObjects(platform.objects, self.clock),
            self.clock,
            self.fleet.live_count,
            platform.fleet_writes,
            platform.fleet_reads,
        )
        self.claims = Claims(self.store, self.clock, self.vm)
        self.claim_admin = ClaimAdmin(self.store, self.clock, self.random)
        self.versions = Versions(self.store, self.clock)
        self.configuration = ConfigurationInForce(
            self.versions, self.fleet, self.clock, self._apply
        )
        self.readiness = DaemonReadiness(lambda: self.fleet.currency.why(self.clock.now()))

    def _build_path(self) -> None:
        self.connector = HttpConnector(self.clock, ConnectorLimits())
        self.services = Services(
            self.clock, self.random, self.connector.set_share, self.fleet.live_count
        )
        self.sharing = Sharing(self.vm, self.services, self.fleet, self.metrics, self.clock)
        prober = Prober(self.connector, self.clock)
        self.probing = Probing(self.services, prober, self.metrics, self.sharing, self.clock)
        self.returning = Returning(self.services, prober, self.sharing, self.clock)
        self.admit = Admit(self.services, self.clock)
        filters = [
            Record(self.metrics, self.journal, self.clock),
            Identify(),
            Match(self.configuration.document, self.readiness.why_not_serving),
            Buffering(),
            CrashStop(self.services, self.clock),
            Spool(UploadHandler(self.uploads)),
            self.admit,
            Claiming(self.claims),
        ]
        dispatch = Dispatch(
            self.services, self.connector, self.clock, self.sharing, self.probing.ask_first
        )
        ids = RequestIds(self.vm, self.fleet.membership.me.incarnation)
        self.pipeline = Pipeline(filters, dispatch, ids, self.clock)
        self.callers = CallerServer(self.pipeline, self._limits(), self.clock, ids.next)

    def _build_uploads(self) -> None:
        sender = UploadSender(self.services, self.connector, self.clock)
        self.deliveries = Deliveries(self.uploads, sender.send, self.clock)
        self.orphans = Orphans(self.uploads)

    def _build_operators(self) -> None:
        admin = self.settings.admin
        state = DaemonState(
            self.vm,
            self.clock,
            self.configuration.document,
            self.services,
            self.fleet,
            self.readiness,
            self.versions,
            self.claim_admin,
            self.uploads,
            self.journal,
        )
        releases = DaemonReleases(
            self.services, self.claim_admin, self.fleet, self.clock, self.uploads
        )
        gatherer = Gatherer(self._peers, admin.token)
        executor = Executor(
            self.vm, self.clock, state, self.configuration, releases, self.journal, gatherer
        )
        secrets = [admin.token, *self.settings.fleet.key.split()]
        dump = Dump(self.vm, self.parts, secrets)
        routes = Routes(admin.token, self.readiness, self.metrics, dump, executor)
        self.admin = AdminServer(admin.address, routes)

    def _declare_metrics(self) -> None:
        declare_path(self.metrics, self.services, self.callers)
        declare_fleet(self.metrics, self.fleet, self.configuration, self.readiness)
        declare_store(self.metrics, self.store, self.claims)
        declare_uploads(self.metrics, self.uploads, self.deliveries)

    def _limits(self) -> CallerLimits:
        callers = self.settings.callers
        return CallerLimits(
            max_head=callers.max_head,
            max_connections=callers.max_connections,
            idle_timeout=callers.idle_timeout,
            head_timeout=callers.head_timeout,
            body_timeout=callers.body_timeout,
        )

    # Running.

    async def _start(self) -> None:
        """Listen first on what others depend on, on the callers' port last."""
        await self.admin.bind()
        await curio.spawn(self.admin.run(), daemon=True)
        await self.fleet.start()
        self._subscribe()
        await curio.spawn(self.timers.run(), daemon=True)
        self.callers.bind(self.settings.callers.address)
        self.server = await curio.spawn(self.callers.serve(), daemon=True)
        # What was made at the start stays; the collector need not go through it again and again.
        gc.collect()
        gc.freeze()

    def _subscribe(self) -> None:
        timers = self.timers
        for part in (self.store, self.claims, self.claim_admin, self.configuration):
            part.subscribe(timers)
        self.services.subscribe(timers)
        self.sharing.subscribe(timers)
        self.probing.subscribe(timers)
        self.returning.subscribe(timers)
        self.fleet.on_event(lambda event: self.services.share_connections())
        self.admit.subscribe(timers)
        timers.every(IDLE_SWEEP, "idle connections", self.connector.sweep)
        timers.every(DELIVER_EVERY, "deliveries", self._deliver)
        timers.every(COLLECT_EVERY, "orphans", self._collect)
        timers.every(LIST_EVERY, "vm list", self._read_list)

    def _apply(self, document: Document) -> None:
        self.services.update(document)

    async def _deliver(self) -> None:
        await self.deliveries.step(self.clock.wall())

    async def _collect(self) -> None:
        await self.orphans.step(self.clock.wall())

    async def _read_list(self) -> None:
        listed = await self.vm_list.vms(LIST_TIMEOUT)
        if listed.is_ok():
            self.fleet.hint([vm.address for vm in listed.ok if not vm.leaving])

    def _peers(self) -> list[Peer]:
        """Return the other VMs' admin ports: every VM uses the same port number for it."""
        port = self.admin.address.rpartition(":")[2]
        others = self.fleet.membership.live()
        return [Peer(m.name, f"{m.address.rpartition(':')[0]}:{port}") for m in others]

    # Stopping.

    def _catch_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, frame: object) -> None:
        """Begin a planned stop; a second signal ends the process at once, work or not."""
        if self.readiness.stopping:
            raise SystemExit(1)
        self.readiness.stopping = True
        self.stop_asked.set()

    async def _stop(self) -> None:
        """Leave the balancer, serve on for its lag, finish all in flight, leave the fleet."""
        lag = self.settings.callers.balancer_lag
        log.info("Stopping: out of the balancer, serving on for %.1f s.", lag)
        self.deliveries.stopping = True
        await curio.sleep(lag)
        await self.callers.stop_accepting()
        await self.callers.wait_idle()
        while not (self.uploads.idle and self.deliveries.idle):
            await curio.sleep(STOP_LOOK)
        while await self.claims.settle() and not self.store.is_down:
            await curio.sleep(STOP_LOOK)
        await self.fleet.leave()
        await self.connector.close()
        log.info("Stopped: nothing was cut off.")
