"""The rows that `show` answers with: one type for each subject, its fields are the columns.

Rows cross the wire when one daemon asks the others, so they are msgspec structs. Ages and times
are seconds; a wall time is written as ISO 8601 in UTC by the part that makes the row. Add new
fields at the end with defaults, so that daemons of different releases understand each other.
"""

from __future__ import annotations

import msgspec

from .commands import Subject


class ShowRow(msgspec.Struct):
    """Base of all rows; `of` names the fields that `show … of NAME` compares with NAME."""

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        """Return the fields of which one must equal NAME."""
        return ("name",)


class ServiceRow(ShowRow):
    """One service of the configuration and the work of this VM for it."""

    name: str
    hosts: str = ""
    path_prefix: str = "/"
    upstreams: int = 0
    queued: int = 0
    in_flight: int = 0
    tail_weight: float = 0.0
    probes_per_1000: float = 0.0


class PoolRow(ShowRow):
    """One pool of the configuration."""

    name: str
    service: str = ""
    upstreams: int = 0
    slots: int = 0
    connections: int = 0

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("name", "service")


class UpstreamRow(ShowRow):
    """One upstream as one VM sees it."""

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
    """One rule of the configuration."""

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
    """One VM of the fleet as another (`seen_by`) knows it."""

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
    """One option of the configuration in force."""

    kind: str
    name: str
    option: str
    value: str

    @classmethod
    def of_fields(cls) -> tuple[str, ...]:
        return ("name", "kind")


class ClaimRow(ShowRow):
    """One claim in the table service whose outcome nobody reported in time, and who holds it."""

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
    """One upload: how much is committed and how far its delivery is."""

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
    """One request (by fingerprint) that was with upstreams when they crashed."""

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
    """One refused call of one VM, newest first."""

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
    """One version of the configuration: who set it, when, and what it changed."""

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
"""The row type of each subject."""

FLEET_SUBJECTS = frozenset({Subject.UPSTREAMS, Subject.VMS, Subject.REFUSALS})
"""Subjects of which each VM knows its own part, so that all are asked."""


def fields_of(subject: Subject) -> list[str]:
    """Return the columns of a subject's rows, in order."""
    return list(ROWS[subject].__struct_fields__)
