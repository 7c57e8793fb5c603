"""Row types of `show`, one per subject; the fields are the columns.

Daemons send rows to each other, so add new fields at the end and with defaults. Ages and durations
are in seconds; wall times are ISO 8601 in UTC.
"""

from __future__ import annotations

import msgspec

from .commands import Subject


class ShowRow(msgspec.Struct):
    """Base class of rows."""

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        """Return the fields that `show … of NAME` compares with NAME; one must be equal."""
        return ("name",)


class ServiceRow(ShowRow):
    """A configured service and its calls on this VM."""

    name: str
    hosts: str = ""
    path_prefix: str = "/"
    upstreams: int = 0
    queued: int = 0
    in_flight: int = 0
    tail_weight: float = 0.0
    probes_per_1000: float = 0.0


class PoolRow(ShowRow):
    """A configured pool."""

    name: str
    service: str = ""
    upstreams: int = 0
    slots: int = 0
    connections: int = 0

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("name", "service")


class UpstreamRow(ShowRow):
    """An upstream and its state and measurements on one VM."""

    name: str
    vm: str = ""
    service: str = ""
    pool: str = ""
    address: str = ""
    data_centre: str = ""
    state: str = ""
    in_flight: int = 0
    reported: int = 0
    report_age: float = 0.0
    latency_ms: float = 0.0
    failures: int = 0
    connections: int = 0
    why: str = ""

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("name", "service", "pool", "vm")


class RuleRow(ShowRow):
    """A configured rule."""

    name: str
    service: str = ""
    order: int = 0
    methods: str = ""
    path: str = ""
    kind: str = ""
    weight: float = 1.0
    window: float = 0.0
    idempotent: bool = False
    key: str = ""
    upload: str = ""
    hedge: bool = False

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("name", "service")


class VmRow(ShowRow):
    """A VM of the fleet, according to the membership list of the VM `seen_by`."""

    name: str
    seen_by: str = ""
    address: str = ""
    data_centre: str = ""
    state: str = ""
    incarnation: int = 0
    version: int = 0
    since: float = 0.0
    ready: str = ""

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("name", "data_centre", "seen_by")


class ConfigurationRow(ShowRow):
    """An option of the configuration in force."""

    kind: str
    name: str
    option: str
    value: str

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("name", "kind")


class ClaimRow(ShowRow):
    """A claim whose outcome was not reported in time, and the VM that holds it."""

    id: str
    service: str = ""
    caller: str = ""
    key: str = ""
    vm: str = ""
    state: str = ""
    age: float = 0.0

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("id", "service", "caller", "vm")


class UploadRow(ShowRow):
    """An upload: its committed size and the state of its delivery."""

    id: str
    service: str = ""
    caller: str = ""
    state: str = ""
    size: int = 0
    upstream: str = ""
    vm: str = ""
    age: float = 0.0
    crashed: str = ""
    error: str = ""

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("id", "service", "caller", "vm")


class CrashRow(ShowRow):
    """A request, by fingerprint, that was running on upstreams when they crashed."""

    fingerprint: str
    service: str = ""
    count: int = 0
    upstreams: str = ""
    stopped: bool = False
    age: float = 0.0

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("fingerprint", "service")


class RefusalRow(ShowRow):
    """A call that a VM refused."""

    at: str
    request_id: str
    vm: str = ""
    service: str = ""
    kind: str = ""
    status: int = 0
    reason: str = ""
    outcome: str = ""
    message: str = ""

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("service", "vm", "reason")


class HistoryRow(ShowRow):
    """A version of the configuration: its author, time and changes."""

    version: int
    author: str = ""
    at: str = ""
    change: str = ""

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("author",)


ROWS: dict[Subject, type[ShowRow]] = {
    Subject.SERVICES: ServiceRow,
    Subject.POOLS: PoolRow,
    Subject.UPSTREAMS: UpstreamRow,
    Subject.RULES: RuleRow,
    Subject.VMS: VmRow,
    Subject.CONFIGURATION: ConfigurationRow,
    Subject.CLAIMS: ClaimRow,
    Subject.UPLOADS: UploadRow,
    Subject.CRASHES: CrashRow,
    Subject.REFUSALS: RefusalRow,
    Subject.HISTORY: HistoryRow,
}
"""Row type of each subject."""

FLEET_SUBJECTS = frozenset({Subject.UPSTREAMS, Subject.VMS, Subject.REFUSALS})
"""Subjects whose rows differ between VMs, so that `show` queries all VMs."""


def fields_of(subject: Subject) -> list[str]:
    """Return the columns of a subject, in order."""
    return list(ROWS[subject].__struct_fields__)
