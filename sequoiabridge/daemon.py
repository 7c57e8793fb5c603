"""The daemon: builds its components and runs them from start to stop.

`assembly.call_path` builds the components that calls pass through and `assembly.operators` the
admin port; `assembly.schedule` has the periodic work and `assembly.stopping` the planned stop.
"""

from __future__ import annotations

import gc
from random import Random

import curio

from .assembly import stopping
from .assembly.call_path import CallPath
from .assembly.operators import build_admin, declare_daemon_metrics
from .assembly.schedule import Schedule
from .callers.machine import MachineLimits
from .callers.memory import MemoryBudget
from .component import Component
from .config.document import Document
from .config.settings import Settings
from .configuration import ConfigurationInForce
from .fleet.fleet import FleetNode
from .fleet.wire import parse_keys
from .logs import get_log
from .metrics import Metrics
from .operators.journal import Journal
from .platform.services import PlatformObjects, PlatformTables, PlatformVmList
from .readiness import DaemonReadiness
from .store.claim_admin import ClaimAdmin
from .store.claims import Claims
from .store.client import StoreClient
from .store.uploads import Uploads
from .store.versions import Versions
from .supervision import Supervisor
from .timers import Clock, SystemClock, Timers

log = get_log("daemon")


class Daemon:
    """A daemon, built from its settings and run once."""

    def __init__(self, settings: Settings, clock: Clock | None = None):
        self.settings = settings
        self.vm = settings.vm.name
        self.clock = clock or SystemClock()
        self.timers = Timers(self.clock)
        self.tasks = Supervisor(self.clock)
        self.random = Random()
        self.machine_limits = MachineLimits(settings.vm.memory, settings.vm.descriptors)
        self.memory = MemoryBudget(self.machine_limits.buffers, self.clock)
        self.metrics = Metrics()
        self.journal = Journal(self.clock, self.vm)
        self.fleet = self._build_fleet()
        self._build_store()
        self.uploads = Uploads(self.store, self.store.objects, self.clock, self.vm)
        self._build_configuration()
        self.path = CallPath(self)
        self.services = self.path.services
        self.sharing = self.path.sharing
        self.deliveries = self.path.deliveries
        self.orphans = self.path.orphans
        self.connector = self.path.connector
        self.pipeline = self.path.pipeline
        self.callers = self.path.callers
        self.admin = build_admin(self)
        declare_daemon_metrics(self)
        self.schedule = Schedule(self)
        self.stop_requested = curio.UniversalEvent()

    def components(self) -> list[Component]:
        """Return the components that the state dump shows."""
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
        """Serve until SIGTERM or SIGINT, then stop gracefully; return the exit code."""
        self._install_signal_handlers()
        await self._start()
        log.info("VM %s accepts callers on %s", self.vm, self.callers.address)
        await self.stop_requested.wait()
        await self._stop()
        await self.tasks.cancel()
        return 0

    def _build_fleet(self) -> FleetNode:
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
        """Build the clients of the platform's services; tests override this."""
        platform = self.settings.platform
        self.vm_list = PlatformVmList(platform.list, self.clock)
        self.store = StoreClient(
            PlatformTables(platform.tables, self.clock),
            PlatformObjects(platform.objects, self.clock),
            self.clock,
            self.fleet.live_count,
            platform.fleet_writes,
            platform.fleet_reads,
        )
        self.claims = Claims(self.store, self.clock, self.vm)
        self.claim_admin = ClaimAdmin(self.store, self.clock, self.random)

    def _build_configuration(self) -> None:
        self.versions = Versions(self.store, self.clock)
        self.configuration = ConfigurationInForce(
            self.versions, self.fleet, self.clock, self._apply
        )
        self.readiness = DaemonReadiness(
            lambda: self.fleet.version_tracker.why_not_ready(self.clock.now())
        )

    def _apply(self, document: Document) -> None:
        """Apply a document that has come into force."""
        self.services.update(document)

    async def _start(self) -> None:
        """Start all components; the callers' port is opened last."""
        await self.admin.bind()
        await self.tasks.start("admin port", self.admin.run)
        await self.fleet.start()
        self.schedule.subscribe()
        await self.tasks.start("timers", self.timers.run)
        self.callers.bind(self.settings.callers.address)
        self.server = await self.tasks.start("callers port", self.callers.serve)
        # Objects created so far live as long as the process; exclude them from garbage collection.
        gc.collect()
        gc.freeze()

    def _install_signal_handlers(self) -> None:
        stopping.install_signal_handlers(self)

    async def _stop(self) -> None:
        await stopping.stop(self)
