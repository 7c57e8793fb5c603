"""Metrics of the daemon in the Prometheus text format, built at each scrape."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import accumulate
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from .counters import LATENCY_BOUNDS, Counters

if TYPE_CHECKING:
    from ..balancing.dispatch import Dispatch
    from ..gateway import Gateway

BUCKET_BOUNDS = [*(str(bound) for bound in LATENCY_BOUNDS), "+Inf"]


def render(gateway: Gateway) -> bytes:
    """Return all metrics of a daemon as text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(GatewayCollector(gateway))
    return generate_latest(registry)


class GatewayCollector:
    """Prometheus collector that builds the metric families from the counters."""

    def __init__(self, gateway: Gateway):
        self.gateway = gateway

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families."""
        counters = self.gateway.counters
        endings = self.gateway.sender.dispatch.recorder.endings
        yield from route_families(counters)
        yield labelled_counter(
            "sequoia_refusals", "Answers the daemon made.", "reason", counters.refusals
        )
        yield labelled_counter("sequoia_attempts", "Attempts at upstreams.", "ending", endings)
        yield labelled_counter(
            "sequoia_log_lines",
            "Lines of the decision log.",
            "event",
            self.gateway.decisions.written,
        )
        yield labelled_counter(
            "sequoia_part_failures",
            "Failures of long-lived tasks, which are started again.",
            "part",
            self.gateway.tasks.failures,
        )
        yield labelled_counter(
            "sequoia_upstreams_excluded",
            "Upstreams that were passed over for a call, and sends that were withheld.",
            "reason",
            {reason.value: count for reason, count in self.gateway.send_policy.counts.items()},
        )
        yield from retry_families(self.gateway.sender.dispatch)
        yield from limit_families(self.gateway)
        yield from rest_families(self.gateway)
        yield from departure_families(self.gateway)
        yield labelled_counter(
            "sequoia_peer_requests_rejected",
            "Requests for a connection that were rejected at the port for peers.",
            "status",
            self.gateway.paths.port.rejected,
        )
        for name, about, value in plain_counters(self.gateway):
            yield CounterMetricFamily(name, about, value=value)
        for name, about, value in gauges(self.gateway):
            yield GaugeMetricFamily(name, about, value=value)


def labelled_counter(name: str, about: str, label: str, counts: dict[str, int]) -> Metric:
    """Return a counter family with one label."""
    family = CounterMetricFamily(name, about, labels=(label,))
    for value, count in counts.items():
        family.add_metric((value,), count)
    return family


def labelled_gauge(name: str, about: str, label: str, values: dict[str, float]) -> Metric:
    """Return a gauge family with one label."""
    family = GaugeMetricFamily(name, about, labels=(label,))
    for label_value, value in values.items():
        family.add_metric((label_value,), value)
    return family


def route_families(counters: Counters) -> Iterator[Metric]:
    """Yield the families of calls by status, calls in time, and latency, each by route."""
    calls = CounterMetricFamily("sequoia_calls", "Calls answered.", labels=("route", "status"))
    timely = CounterMetricFamily(
        "sequoia_calls_by_window", "Calls in time or not.", labels=("route", "in_time")
    )
    latency = HistogramMetricFamily(
        "sequoia_call_seconds", "From a call's head to its answer's end.", labels=("route",)
    )
    for route, counts in counters.routes.items():
        for status, count in counts.statuses.items():
            calls.add_metric((route, status), count)
        timely.add_metric((route, "yes"), counts.in_time)
        timely.add_metric((route, "no"), counts.late)
        sums = accumulate(counts.buckets)
        latency.add_metric((route,), list(zip(BUCKET_BOUNDS, sums, strict=True)), counts.seconds)
    yield from (calls, timely, latency)


def retry_families(dispatch: Dispatch) -> Iterator[Metric]:
    """Yield the families about retries and hedges, each by service."""
    recorder, budgets = dispatch.recorder, dispatch.budgets
    yield labelled_counter(
        "sequoia_service_sends", "Attempts that were sent.", "service", recorder.sends
    )
    yield labelled_counter(
        "sequoia_service_repeats",
        "Attempts that were sent after, or beside, another attempt of their call.",
        "service",
        recorder.repeats,
    )
    yield labelled_counter(
        "sequoia_retry_tokens",
        "Retries and hedges that the retry budget granted.",
        "service",
        {service: budget.taken for service, budget in budgets.items()},
    )
    yield labelled_counter(
        "sequoia_retry_tokens_refused",
        "Retries and hedges that the retry budget refused.",
        "service",
        {service: budget.refused for service, budget in budgets.items()},
    )


def limit_families(gateway: Gateway) -> Iterator[Metric]:
    """Yield the families about limits, each by upstream that has one."""
    now = gateway.clock.now()
    limits = {u.id: u.stats.request_limit for u in gateway.request_limits.limited()}
    yield labelled_gauge(
        "sequoia_upstream_limit",
        "Requests per second that the upstream takes from all VMs together.",
        "upstream",
        {id: limit.rate for id, limit in limits.items()},
    )
    yield labelled_gauge(
        "sequoia_upstream_limit_age_seconds",
        "Seconds since the limit was last observed.",
        "upstream",
        {id: now - limit.observed_at for id, limit in limits.items()},
    )
    yield labelled_counter(
        "sequoia_limited_sends",
        "Calls that this VM sent since the upstream named its limit.",
        "upstream",
        {id: limit.sends for id, limit in limits.items()},
    )
    for name, about, attribute in (
        ("sequoia_permits", "Permits that this VM got.", "granted"),
        ("sequoia_permits_refused", "Permits that this VM was refused.", "refused"),
    ):
        counts = {id: getattr(limit, attribute) for id, limit in limits.items()}
        yield labelled_counter(name, about, "upstream", counts)


def rest_families(gateway: Gateway) -> Iterator[Metric]:
    """Yield the families about rests, each by upstream that has asked for one."""
    now = gateway.clock.now()
    rests = {u.id: u.stats.rest for u in gateway.rests.asked()}
    yield labelled_gauge(
        "sequoia_upstream_rest_seconds",
        "Seconds for which the upstream wants no more requests of this VM.",
        "upstream",
        {id: rest.seconds_left(now) for id, rest in rests.items()},
    )
    yield labelled_counter(
        "sequoia_upstream_rests",
        "Answers by which the upstream asked this VM for rest.",
        "upstream",
        {id: rest.count for id, rest in rests.items()},
    )
    yield labelled_counter(
        "sequoia_rest_sends",
        "Calls that this VM sent during a rest.",
        "upstream",
        {id: rest.sends for id, rest in rests.items()},
    )
    yield labelled_counter(
        "sequoia_rest_withheld",
        "Times that the upstream was passed over, or a call withheld, for a rest.",
        "upstream",
        {id: rest.withheld for id, rest in rests.items()},
    )


def departure_families(gateway: Gateway) -> Iterator[Metric]:
    """Yield the families about upstreams that say that they leave."""
    now = gateway.clock.now()
    departures = {u.id: u.departure for u in gateway.departures.leaving()}
    yield labelled_gauge(
        "sequoia_upstream_leaving_seconds",
        "Seconds since this VM learnt that the upstream leaves.",
        "upstream",
        {id: now - departure.since for id, departure in departures.items()},
    )
    yield labelled_counter(
        "sequoia_leaving_sends",
        "Calls that this VM sent since then.",
        "upstream",
        {id: departure.sends for id, departure in departures.items()},
    )
    yield labelled_counter(
        "sequoia_leaving_withheld",
        "Times that the upstream was passed over, or a call withheld, since then.",
        "upstream",
        {id: departure.withheld for id, departure in departures.items()},
    )


def plain_counters(gateway: Gateway) -> Iterator[tuple[str, str, float]]:
    """Yield name, help and value of each counter without labels."""
    counters, dispatch = gateway.counters, gateway.sender.dispatch
    yield "sequoia_hedges", "Second attempts at calls that waited.", dispatch.hedges
    yield "sequoia_retries", "Attempts after one that failed.", dispatch.retries
    yield "sequoia_probes", "Health checks sent.", counters.probes
    yield (
        "sequoia_probes_unanswered",
        "Health checks without an answer.",
        counters.probes_unanswered,
    )
    yield "sequoia_callers_left", "Calls whose callers left.", counters.callers_left
    yield "sequoia_store_calls", "Calls to the platform's store.", counters.store_calls
    yield "sequoia_store_failures", "Such calls without a good answer.", counters.store_failures
    yield "sequoia_connections_opened", "Connections to upstreams.", gateway.connector.opened_count
    entry_errors = [follower.entry_errors.count for follower in gateway.followers.values()]
    unusable = sum(entry_errors) + gateway.members.entry_errors.count
    yield "sequoia_entries_unusable", "Entries of the store that could not be used.", unusable
    invalid = gateway.request_limits.invalid
    yield "sequoia_upstream_limits_invalid", "Limits that could not be read.", invalid
    yield "sequoia_rests_invalid", "Rests that could not be read.", gateway.rests.invalid
    invalid = gateway.departures.invalid
    yield "sequoia_departures_invalid", "Departures that could not be read.", invalid
    unknown = gateway.notices.unknown_headers.count
    yield "sequoia_upstream_headers_unknown", "Headers of answers that nothing reads.", unknown
    yield "sequoia_permits_unanswered", "Requests without a reply.", gateway.permits.unanswered
    to_peers = gateway.permits.granted_to_peers
    yield "sequoia_permits_to_peers", "Permits granted to other VMs.", to_peers
    blocks = gateway.blocked_requests
    yield "sequoia_block_withheld", "Calls refused as crashing upstreams.", blocks.withheld
    yield "sequoia_block_trials", "Blocked requests that this VM let run.", blocks.trials.taken
    withdrawn = gateway.crash_withdrawals.withdrawn
    yield "sequoia_crashes_withdrawn", "Upstreams found alive after a crash.", withdrawn
    yield from path_counters(gateway)
    yield from caller_counters(gateway)
    yield "sequoia_log_omitted", "Lines left out of the log.", gateway.decisions.omitted


def caller_counters(gateway: Gateway) -> Iterator[tuple[str, str, float]]:
    """Yield name, help and value of each counter about callers that were closed or refused."""
    callers, memory = gateway.callers, gateway.memory
    refused = callers.rejected_count
    yield "sequoia_caller_connections_refused", "Connections beyond the limit.", refused
    closed = callers.closed_waiting_count
    yield "sequoia_caller_connections_closed", "Connections closed to make room.", closed
    yield "sequoia_caller_memory_refused", "Requests refused for lack of memory.", memory.refused
    uploads = gateway.uploads
    yield "sequoia_uploads_refused", "Long uploads refused as too many.", uploads.refused
    yield "sequoia_uploads_evicted", "Stalled uploads broken off.", uploads.evicted
    yield "sequoia_caller_evictions", "Stalled callers that gave up memory.", memory.evicted


def path_counters(gateway: Gateway) -> Iterator[tuple[str, str, float]]:
    """Yield name, help and value of each counter about paths to upstreams."""
    through_peers = gateway.path_opener.opened_through_peers
    yield "sequoia_connections_through_peers", "Connections that peers opened.", through_peers
    for_peers = gateway.paths.port.opened
    yield "sequoia_connections_for_peers", "Connections opened for peers.", for_peers
    of_paths = gateway.paths.failures.of_paths
    yield "sequoia_path_failures", "Connections that failed by the path's fault.", of_paths
    refused = gateway.paths.reach.refused
    yield "sequoia_no_path_refusals", "Calls refused since no way led to upstreams.", refused


def gauges(gateway: Gateway) -> Iterator[tuple[str, str, float]]:
    """Yield name, help and value of each gauge."""
    yield "sequoia_uptime_seconds", "Seconds since the start.", gateway.uptime
    lateness = gateway.timers.lateness
    late = lateness.recent_delay(gateway.clock.now())
    yield "sequoia_lateness_seconds", "Greatest delay of the daemon's timers in the last s.", late
    yield "sequoia_lateness_worst_seconds", "The same since the start.", lateness.worst
    yield "sequoia_ready", "1 if callers may be sent here.", not gateway.readiness.why_not_ready()
    yield "sequoia_configuration_version", "Version in force.", gateway.configuration.version
    yield "sequoia_upstreams", "Upstreams known.", len(gateway.upstreams.by_id)
    yield "sequoia_calls_in_flight", "Calls under way.", gateway.callers.in_flight
    yield "sequoia_caller_connections", "Callers' open connections.", gateway.callers.connections
    yield "sequoia_caller_memory_bytes", "Memory held for callers.", gateway.memory.held
    unread = gateway.sender.unread_calls.count
    yield "sequoia_unread_calls", "Calls given up that an upstream may still read.", unread
    ledger = gateway.blocked_requests.ledger
    yield "sequoia_crash_suspects", "Requests with crashes.", len(ledger.by_fingerprint)
    yield "sequoia_blocked_requests", "Requests that are blocked.", len(ledger.blocks)
    leases = gateway.permits.register.count(gateway.clock.now())
    yield "sequoia_limit_leases", "VMs that made this one their coordinator.", leases
    lost = any(follower.store_unavailable for follower in gateway.followers.values())
    yield "sequoia_store_lost", "1 while the store does not answer.", lost
    age = max(gateway.freshness.ages().values(), default=0.0)
    yield "sequoia_rows_age_seconds", "Seconds since the store confirmed the oldest feed.", age
    reads = gateway.freshness.reads
    yield "sequoia_overdue_reads", "Reads of the store since no peer confirmed the rows.", reads
    table = gateway.path_table
    lost = table.lost_since is not None
    yield "sequoia_paths_lost", "1 while all direct paths count as lost.", lost
    yield "sequoia_paths_isolated", "1 while no way leads to any upstream.", table.was_isolated
    tunnels = gateway.paths.port.tunnels
    yield "sequoia_peer_connections", "Connections served for peers now.", tunnels
    yield "sequoia_watches_store", "1 if the store is followed here.", gateway.watchers.watching
