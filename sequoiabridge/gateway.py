"""The daemon on the platform: builds its parts from the settings, and starts and stops them.

It stores nothing itself: the configuration and the list of upstreams come from the platform's
store. `daemon.Daemon` is the daemon for fleets without such a platform.
"""

from __future__ import annotations

from random import Random

import curio

from .balancing.attempt_recorder import AttemptRecorder
from .balancing.candidates import Candidates
from .balancing.chooser import Chooser
from .balancing.dispatch import Dispatch
from .balancing.hedging import Hedging
from .balancing.predecessor_calls import PredecessorCalls
from .balancing.probe_limiter import ProbeRateLimiter
from .balancing.retry_budget import RetryBudget, RetryLimit
from .balancing.route_stats import RouteStats
from .balancing.routes import RouteTable
from .balancing.send_policy import SendPolicy
from .balancing.splitting import Splitter
from .balancing.upstream import Upstream, UpstreamRecord
from .callers.machine import MachineLimits
from .callers.memory import MemoryBudget
from .config.gateway_settings import GatewaySettings
from .gateway_crashes import build_crash_parts
from .gateway_paths import Paths, build_path_table
from .gateway_servers import build_callers_port, build_readiness_port
from .gateway_start import start
from .gateway_stop import stop
from .logs import get_log
from .platform.client import PlatformClient
from .platform.dialect import PlatformDialect
from .platform.feeds import ConfigurationFeed, UpstreamFeed
from .relay.configuration import Configuration
from .relay.connection_shares import MAX_CONNECTIONS_PER_UPSTREAM, ConnectionShares
from .relay.counters import Counters
from .relay.decisions import DecisionLog, LineWriter
from .relay.departures import Departures
from .relay.feeds import Update
from .relay.follower import Follower
from .relay.free_connections import PooledConnections
from .relay.freshness import Freshness
from .relay.hello import Hello
from .relay.lag_bound import LagBound
from .relay.members import Members
from .relay.notices import Notices
from .relay.operators import OperatorPort
from .relay.paths.fleet_key import FleetKey
from .relay.paths.opener import PathOpener
from .relay.peer_feeds import PeerReader
from .relay.permits import Permits
from .relay.probing import Prober
from .relay.readiness import Readiness
from .relay.relay import Relay
from .relay.reloading import SettingsReloader
from .relay.request_limits import RequestLimits
from .relay.rests import Rests
from .relay.sender import Sender
from .relay.sharing import Sharing
from .relay.stop_plan import StopPlan
from .relay.unfinished_uploads import UnfinishedUploads
from .relay.unknown_headers import UnknownHeaders
from .relay.unread import UnreadCalls
from .relay.upstreams import UpstreamList
from .relay.watchers import Watchers
from .supervision import Supervisor
from .timers import SystemClock, Timers
from .upstreams.connections import ConnectorLimits, HttpConnector

log = get_log("gateway")

UPSTREAM_IDLE_TIMEOUT = 30.0
"""Seconds after which an idle upstream connection is closed, unless the upstream asks for less."""


class Gateway:
    """One daemon, built from its settings; `run` is called once."""

    def __init__(self, settings: GatewaySettings):
        self.settings = settings
        self.clock = SystemClock()
        self.started_at = self.clock.now()
        self.timers = Timers(self.clock)
        self.random = Random()
        listen = settings.listen
        self.operators_address = f"{listen.fleet_ip}:{listen.fleet_ports[0]}"
        self.machine_limits = MachineLimits(settings.vm.memory, settings.vm.descriptors)
        self.memory = MemoryBudget(self.machine_limits.buffers, self.clock)
        self.counters = Counters()
        self.log_writer = LineWriter()
        self.decisions = DecisionLog(settings.vm.name, self.clock, self.log_writer.write)
        self.tasks = Supervisor(self.clock, self._log_failure)
        self.dialect = PlatformDialect()
        self._build_store_followers()
        self._build_call_path()
        self._build_servers()
        self.stop_requested = curio.UniversalEvent()
        self.stop_plan: StopPlan | None = None
        self.settings_reloader = SettingsReloader(
            settings, self.route_stats, self.retry_limit, self.store, self.freshness, self.decisions
        )

    @property
    def uptime(self) -> float:
        """Return the seconds since the daemon was started."""
        return self.clock.now() - self.started_at

    async def run(self) -> int:
        """Serve until a stop is requested, then stop gracefully; return the exit code."""
        await start(self)
        await self.stop_requested.wait()
        await stop(self)
        # The event loop takes no new tasks while it ends, and these start some.
        await self.tasks.cancel()
        return 0

    def begin_stop(self) -> None:
        """Begin a planned stop, unless one has begun.

        A signal handler calls it, so that no task delays the time from which all steps count.
        """
        if self.stop_plan is not None:
            return
        self.readiness.stopping = True
        grace = self.settings.bounds.grace
        self.stop_plan = StopPlan(self.clock.now(), grace, self.timers.lateness)
        self.relay.stop_plan = self.stop_plan
        self.sender.dispatch.stop_at = self.stop_plan.answer_by
        self.callers.announce_stop()

    def _build_store_followers(self) -> None:
        """Build the parts that follow the store: the configuration and the list of upstreams."""
        settings = self.settings
        self.store = PlatformClient(settings.store.address, self.clock, self._count_store_call)
        self.configuration = Configuration(self.decisions, self._apply_configuration)
        self.upstreams = UpstreamList(
            settings.vm.data_centre, self.clock, self.decisions, self._retire_connections
        )
        self._build_connector()
        self._build_fleet()
        self.readiness = Readiness(self.configuration, self.upstreams)
        self.followers = {
            "configuration": self._configuration_follower(),
            "upstreams": self._upstream_follower(),
        }
        self._build_watchers()

    def _build_connector(self) -> None:
        """Build the connections to upstreams and the part that chooses their ways."""
        self.path_table = build_path_table(self)
        self.fleet_key = FleetKey(self.store, self.decisions, self.clock)
        self.path_opener = PathOpener(self.path_table, self.fleet_key, self.clock)
        limits = ConnectorLimits(idle_timeout=UPSTREAM_IDLE_TIMEOUT, allow_until_close=True)
        self.connector = HttpConnector(
            self.clock, limits, MAX_CONNECTIONS_PER_UPSTREAM, self.path_opener
        )

    def _configuration_follower(self) -> Follower:
        return Follower(
            ConfigurationFeed(self.store),
            self.clock,
            self.random,
            self.decisions,
            self._offer_configuration,
            self._offer_configuration,
            self._note_store_unavailable,
            lambda: None,
        )

    def _upstream_follower(self) -> Follower:
        return Follower(
            UpstreamFeed(self.store),
            self.clock,
            self.random,
            self.decisions,
            self._replace_upstreams,
            self._update_upstreams,
            self._note_store_unavailable,
            self.upstreams.store_recovered,
        )

    def _build_watchers(self) -> None:
        """Build the part that decides whether this daemon follows the store itself."""
        bounds = self.settings.bounds
        self.freshness = Freshness(
            self.followers,
            LagBound(bounds.config_apply, bounds.drain),
            self.timers,
            self.clock,
            self.random,
            self.decisions,
            lambda: self.members.count,
        )
        reader = PeerReader(self.operators_address, self.clock)
        self.watchers = Watchers(
            self.members,
            self.sharing.channel,
            self.followers,
            reader,
            self.decisions,
            self.clock,
            self.settings.vm.first_start,
            self.freshness,
        )
        self.sharing.on_heartbeat = self.watchers.handle_heartbeat
        self.sharing.on_hello = self._handle_hello
        self.sharing.channel.after_batch = self._after_datagrams
        self.configuration.receives_updates = lambda: self.watchers.is_current

    def _build_fleet(self) -> None:
        """Build the parts that exchange messages with the peers."""
        vm, listen = self.settings.vm, self.settings.listen
        self.probe_limiter = ProbeRateLimiter(
            self.settings.bounds.probes_per_second, self.started_at
        )
        self.request_limits = RequestLimits(self.upstreams, self.decisions, self.clock)
        self.rests = Rests(self.upstreams, self.decisions, self.clock)
        self.sharing = Sharing(self.upstreams, self.clock)
        self.departures = Departures(self.upstreams, self.sharing, self.decisions, self.clock)
        self.notices = Notices(
            self.request_limits, self.rests, self.departures, UnknownHeaders(self.decisions)
        )
        address = f"{listen.fleet_ip}:{listen.fleet_ports[-1]}"
        own_hello = Hello(vm.name, address, vm.data_centre, vm.link)
        self.members = Members(
            own_hello,
            self.store,
            self.decisions,
            self.random,
            self.sharing.send_hello,
            vm.first_start,
        )
        self.sharing.members = self.members
        self.connection_shares = ConnectionShares(
            self.connector, self.upstreams, self.configuration, self.members
        )
        self.permits = Permits(
            self.members,
            self.sharing,
            self.request_limits,
            self.decisions,
            self.clock,
            self.random,
            self.started_at,
        )

    def _build_call_path(self) -> None:
        """Build the parts that handle calls."""
        bounds, clock = self.settings.bounds, self.clock
        self.retry_limit = RetryLimit(bounds.retry_ratio, bounds.retry_window, bounds.retry_slack)
        self.send_policy = SendPolicy(clock, self.permits)
        self.send_policy.connections = PooledConnections(self.connector)
        self.paths = Paths(self)
        self.prober = self._build_prober()
        self.route_stats = RouteStats(self.settings.choice.far_megabyte)
        candidates = Candidates(self.settings.vm.name, self.upstreams)
        self.predecessor = PredecessorCalls(
            candidates, self.started_at, self.settings.vm.first_start
        )
        chooser = Chooser(candidates, self.route_stats, clock, self.random, self.send_policy)
        dispatch = Dispatch(
            chooser,
            Hedging(chooser, self.route_stats, clock),
            AttemptRecorder(self.route_stats, self.sharing),
            clock,
            self._new_retry_budget,
        )
        self.unread_calls = UnreadCalls(self.prober, self.predecessor, self.decisions, clock)
        self.sender = self._build_sender(dispatch)
        self.uploads = UnfinishedUploads(self.upstreams.slots, self.decisions)
        self.relay = Relay(
            self.configuration,
            Splitter(self.random),
            self.sender,
            self.dialect,
            self.decisions,
            self.counters,
            clock,
            self.readiness.why_not_serving,
            self.timers.lateness,
            self.uploads,
        )

    def _build_prober(self) -> Prober:
        return Prober(
            self.connector,
            self.dialect,
            self.configuration,
            self.upstreams,
            self.decisions,
            self.sharing,
            self.counters,
            self.clock,
            self.probe_limiter,
            self.notices,
            self.send_policy,
            self.path_table,
        )

    def _build_sender(self, dispatch: Dispatch) -> Sender:
        crash_guard, self.blocked_requests, self.crash_withdrawals = build_crash_parts(self)
        self.send_policy.blocks = self.blocked_requests
        return Sender(
            dispatch,
            self.prober,
            self.connector,
            self.dialect,
            self.sharing,
            self.clock,
            crash_guard,
            self.unread_calls,
            self.permits,
            self.notices,
            self.send_policy,
            self.path_table,
            self.paths.failures,
        )

    def _build_servers(self) -> None:
        """Build the servers of the callers', the readiness and the operators' ports."""
        self.callers, self.ready = build_callers_port(self), build_readiness_port(self)
        self.caller_limits = self.callers.limits
        self.operators = OperatorPort(self.operators_address, self)

    def _log_failure(self, part: str, error: BaseException, delay: float) -> None:
        self.decisions.event(
            "part-failed", part=part, why=repr(error), restart_ms=round(delay * 1000)
        )

    def _handle_hello(self, hello: Hello) -> None:
        """Tell a daemon that has just started what it needs to know at once."""
        self.watchers.handle_hello(hello)
        self.blocked_requests.tell_new_daemon(hello)
        self.permits.handle_hello(hello)
        self.departures.handle_hello(hello)
        self.paths.handle_hello(hello)

    async def _after_datagrams(self) -> None:
        await self.permits.wake_answered()
        await self.watchers.wake_if_behind()

    def _offer_configuration(self, update: Update[RouteTable]) -> None:
        for table in update.entries:
            self.configuration.offer(table)

    def _note_store_unavailable(self) -> None:
        self.watchers.note_store_unavailable()

    def _apply_configuration(self, table: RouteTable) -> None:
        """Apply the services and the caller limits of a new configuration."""
        self.upstreams.set_services(table.services)
        self.caller_limits.apply(table.limits)
        self.machine_limits.apply_to(self.caller_limits)

    def _replace_upstreams(self, update: Update[UpstreamRecord]) -> None:
        self.upstreams.replace(update.entries, update.version, update.unusable)

    def _update_upstreams(self, update: Update[UpstreamRecord]) -> None:
        self.upstreams.update(update.entries, update.removed, update.version, update.unusable)

    def _retire_connections(self, upstream: Upstream) -> None:
        """Close connections to an upstream that gets no more calls as soon as they are idle."""
        self.connector.retire(upstream.address)

    def _new_retry_budget(self, service: str) -> RetryBudget:
        return RetryBudget(
            self.retry_limit, lambda now: self.predecessor.time_settled(service, now)
        )

    def _count_store_call(self, failed: bool) -> None:
        self.counters.store_calls += 1
        self.counters.store_failures += failed
