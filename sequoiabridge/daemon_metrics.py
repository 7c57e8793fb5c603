"""Declares the metrics whose values the daemon's components keep, read at each scrape."""

from __future__ import annotations

from collections.abc import Callable

from .callers.server import CallerServer
from .configuration import ConfigurationInForce
from .exposition import Samples
from .fleet.fleet import FleetNode
from .metrics import Metrics
from .pipeline.services import Services, ServiceState
from .readiness import DaemonReadiness
from .store.claims import Claims
from .store.client import StoreClient
from .store.upload_delivery import UploadDeliverer
from .store.uploads import Uploads

SERVICE_LABEL = ("service",)
RESULT_LABEL = ("result",)
STORE_EVENTS = ("writes", "reads", "refused", "unanswered", "rejected", "settled", "unsettled")


def declare_call_metrics(metrics: Metrics, services: Services, callers: CallerServer) -> None:
    """Declare the metrics of queues, calls in flight, ejections and callers' connections."""

    def per_service(read: Callable[[ServiceState], float]) -> Callable[[], Samples]:
        return lambda: [((state.service.name,), read(state)) for state in services.states()]

    metrics.counter(
        "sequoia_ejections",
        "Upstreams taken out of use.",
        per_service(lambda state: state.pool.ejector.count),
        SERVICE_LABEL,
    )
    metrics.gauge(
        "sequoia_queue_length",
        "Calls that wait.",
        per_service(lambda state: state.queue.waiting),
        SERVICE_LABEL,
    )
    metrics.gauge(
        "sequoia_in_flight",
        "Calls that run.",
        per_service(lambda state: state.queue.running),
        SERVICE_LABEL,
    )
    metrics.gauge(
        "sequoia_caller_connections", "Callers' open connections.", lambda: callers.connections
    )
    memory = callers.memory
    metrics.gauge("sequoia_caller_memory_bytes", "Memory held for callers.", lambda: memory.held)
    for name, about, read in (
        ("connections_refused", "Connections beyond the limit.", lambda: callers.rejected_count),
        ("connections_closed", "Closed to make room.", lambda: callers.closed_waiting_count),
        ("memory_refused", "Requests refused for lack of memory.", lambda: memory.refused),
        ("evictions", "Stalled callers that gave up memory.", lambda: memory.evicted),
    ):
        metrics.counter(f"sequoia_caller_{name}", about, lambda read=read: [((), read())])


def declare_fleet_metrics(
    metrics: Metrics,
    fleet: FleetNode,
    configuration: ConfigurationInForce,
    readiness: DaemonReadiness,
) -> None:
    """Declare the metrics of readiness, the configuration and the messages between VMs."""
    metrics.gauge("sequoia_ready", "1 if callers may be sent here.", lambda: readiness.check()[0])
    metrics.gauge(
        "sequoia_configuration_version",
        "Version in force.",
        lambda: configuration.document().version,
    )
    metrics.gauge("sequoia_live_vms", "VMs that are live, this one included.", fleet.live_count)
    counters = fleet.counters
    metrics.counter(
        "sequoia_fleet_bytes",
        "Bytes to and from other VMs.",
        lambda: [(("sent",), counters.bytes_sent), (("received",), counters.bytes_received)],
        ("direction",),
    )
    metrics.counter(
        "sequoia_fleet_bad_messages",
        "Messages of other VMs that were dropped.",
        lambda: [((kind.value,), number) for kind, number in counters.dropped.items()],
        ("kind",),
    )


def declare_store_metrics(metrics: Metrics, store: StoreClient, claims: Claims) -> None:
    """Declare the metrics of calls to the platform's store, and of claims."""
    metrics.gauge("sequoia_store_down", "1 while no call goes out.", lambda: store.is_down)
    metrics.counter(
        "sequoia_store_outages", "Outages noticed.", lambda: store.admission.breaker.outage_count
    )
    metrics.counter(
        "sequoia_store_events",
        "Calls to the platform and what became of them.",
        lambda: [((event,), getattr(store.counts, event)) for event in STORE_EVENTS],
        ("event",),
    )
    metrics.counter(
        "sequoia_claims",
        "Claims of work that runs at most once.",
        lambda: [((name,), getattr(claims.counts, name)) for name in claims.counts.__slots__],
        RESULT_LABEL,
    )
    metrics.gauge(
        "sequoia_unproven_reports",
        "Reports on claims that wait for the store.",
        lambda: len(claims.reports.pending),
    )


def declare_upload_metrics(metrics: Metrics, uploads: Uploads, deliveries: UploadDeliverer) -> None:
    """Declare the metrics of uploads and their deliveries."""
    metrics.counter(
        "sequoia_uploads",
        "Requests to uploads by how they ended.",
        lambda: [((result,), number) for result, number in uploads.counts.items()],
        RESULT_LABEL,
    )
    metrics.counter(
        "sequoia_deliveries",
        "Attempts to deliver an upload.",
        lambda: [
            (("confirmed",), deliveries.confirmed),
            (("postponed",), deliveries.postponed),
        ],
        RESULT_LABEL,
    )
