"""Scenes: the simulated system, its load and its faults, read from TOML files."""

from __future__ import annotations

import tomllib
from pathlib import Path

from ..exceptions import SequoiaError

SECONDS_RANGE = (0.1, 3600.0)
"""Bounds of times."""

COUNT_RANGE = (1, 1000)
"""Bounds of numbers of VMs, data centres, upstreams and slots."""

SHARE_RANGE = (0.0, 1.0)
"""Bounds of shares, latencies and spreads."""

FACTOR_RANGE = (0.0, 1000.0)
"""Bounds of factors, rates and costs."""


class SceneError(SequoiaError):
    """A scene is not valid; the message names each problem and its remedy."""

    exit_code = 2


class Service:
    """A service and its upstreams; times in seconds.

    Attributes:
        upstreams: Number of upstreams, spread evenly over the data centres.
        slots: Number of calls that an upstream runs at a time.
        queue: Maximum number of calls in the queue of an upstream; further ones are rejected.
        full_from: Share of busy slots above which all calls at an upstream take `full_factor` times
            as long.
        noisy_share, noisy_factor, noisy_every: Share of time in which neighbours prolong work, the
            factor by which they do, and the mean interval at which this is drawn.
    """

    __slots__ = (
        "name",
        "upstreams",
        "slots",
        "queue",
        "full_from",
        "full_factor",
        "noisy_share",
        "noisy_factor",
        "noisy_every",
    )


class CallKind:
    """A kind of call; times in seconds.

    Attributes:
        per_second: Mean arrival rate from all callers.
        work, spread: Median of the work time, and the standard deviation of its logarithm.
        target: Latency up to which an answer is in time.
        deadline: Longest time that a caller waits, its retries included.
        timeout: Timeout of the route.
        worth, late_worth: Worth of an answer in time, and of a late one.
        tries: Maximum number of retries by a caller.
    """

    __slots__ = (
        "name",
        "service",
        "per_second",
        "work",
        "spread",
        "target",
        "deadline",
        "timeout",
        "worth",
        "late_worth",
        "idempotent",
        "priority",
        "tries",
    )


class Fault:
    """A fault that begins at the simulated time `at` and lasts for `seconds`.

    Attributes:
        kind: A key of `FAULTS`.
        share: Share of the upstreams, callers or VMs that it affects.
        factor: Strength of the fault; see `FAULTS`.
    """

    __slots__ = ("kind", "at", "seconds", "share", "factor")


FAULTS = {
    "burst": "calls arrive at `factor` times the rate",
    "slow": "work takes `factor` times as long on a share of the upstreams",
    "shed": "a share of the upstreams rejects `factor` (0 to 1) of the calls",
    "dark": "a share of the upstreams answers neither calls nor probes",
    "abuse": "a share of the callers ignores Retry-After and makes `factor` times more retries",
    "restart": "a share of the VMs restarts at `at` and loses what it learned",
    "deaf": "a share of the VMs exchanges no messages with peers",
}
"""Effect of each kind of fault."""


class Scene:
    """A scene to simulate.

    Attributes:
        seconds: Duration of the arrivals of calls.
        vms, data_centres: Number of VMs and of data centres.
        near, far: One-way latency in seconds, within a data centre and between two.
        words_lost: Share of the messages between VMs that are lost.
        probes_per_second: Maximum rate of probes to an upstream, from all VMs together.
        far_megabyte: Cost of a megabyte between data centres, where an answer in time is worth 1.
    """

    __slots__ = (
        "name",
        "seconds",
        "vms",
        "data_centres",
        "near",
        "far",
        "words_lost",
        "probes_per_second",
        "far_megabyte",
        "services",
        "kinds",
        "faults",
    )


NUMBER_FIELDS = {
    Scene: {
        "seconds": (30.0, SECONDS_RANGE),
        "vms": (14, COUNT_RANGE),
        "data_centres": (4, COUNT_RANGE),
        "near": (0.0003, SHARE_RANGE),
        "far": (0.0014, SHARE_RANGE),
        "words_lost": (0.0, SHARE_RANGE),
        "probes_per_second": (60.0, FACTOR_RANGE),
        "far_megabyte": (20.0, FACTOR_RANGE),
    },
    Service: {
        "upstreams": (None, COUNT_RANGE),
        "slots": (4, COUNT_RANGE),
        "queue": (8, (0, 1000)),
        "full_from": (0.8, FACTOR_RANGE),
        "full_factor": (1.7, FACTOR_RANGE),
        "noisy_share": (0.25, SHARE_RANGE),
        "noisy_factor": (4.0, FACTOR_RANGE),
        "noisy_every": (0.3, SECONDS_RANGE),
    },
    CallKind: {
        "per_second": (None, (0.01, 100_000.0)),
        "work": (None, (0.0001, 60.0)),
        "spread": (0.3, SHARE_RANGE),
        "target": (None, SECONDS_RANGE),
        "deadline": (None, SECONDS_RANGE),
        "timeout": (None, SECONDS_RANGE),
        "worth": (1.0, FACTOR_RANGE),
        "late_worth": (0.1, FACTOR_RANGE),
        "priority": (1, (0, 100)),
        "tries": (2, (0, 20)),
    },
    Fault: {
        "at": (None, (0.0, 3600.0)),
        "seconds": (1.0, (0.0, 3600.0)),
        "share": (1.0, SHARE_RANGE),
        "factor": (1.0, FACTOR_RANGE),
    },
}
"""Default, None if the number is required, and bounds of each number."""


def load_scene(path: Path) -> Scene:
    """Return the scene that a TOML file describes.

    Raises:
        SceneError: The file cannot be read or is not valid; the message names all problems.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SceneError(
            f"{path}: cannot be read ({error}). Give the path of a scene file."
        ) from error
    return parse_scene(text, path.stem)


def parse_scene(text: str, name: str) -> Scene:
    """Return the scene that a TOML text describes.

    Raises:
        SceneError: The text is not valid; the message names all problems.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SceneError(f"{name}: invalid TOML: {error}. Correct that line.") from error
    problems: list[str] = []
    scene = _parse_table(Scene, document, name, problems, {"service", "kind", "fault"})
    scene.name = name
    scene.services = _parse_tables(Service, document, "service", problems, {"name"})
    scene.kinds = _parse_tables(
        CallKind, document, "kind", problems, {"name", "service", "idempotent"}
    )
    scene.faults = _parse_tables(Fault, document, "fault", problems, {"kind"})
    _validate(scene, problems)
    if problems:
        raise SceneError(f"{name}: " + "; ".join(problems))
    return scene


def _parse_tables(
    scene_type: type, document: dict, key: str, problems: list[str], other_keys: set[str]
) -> list:
    tables = document.get(key, [])
    if not isinstance(tables, list) or not all(isinstance(table, dict) for table in tables):
        problems.append(f"{key} is not an array of tables: write [[{key}]]")
        return []
    return [
        _parse_table(scene_type, table, f"{key} {index}", problems, other_keys)
        for index, table in enumerate(tables, 1)
    ]


def _parse_table(
    scene_type: type, table: dict, where: str, problems: list[str], other_keys: set[str]
):
    """Return an object of `scene_type` with the values of a table; append what is wrong with them.

    Args:
        where: Names the table in messages.
        other_keys: Keys that are allowed beside the numbers.
    """
    parsed, numbers = scene_type(), NUMBER_FIELDS[scene_type]
    for unknown in sorted(set(table) - set(numbers) - other_keys):
        problems.append(f"{where}: unknown key {unknown}: remove it")
    for name, (default, (low, high)) in numbers.items():
        value = table.get(name, default)
        if value is None:
            problems.append(f"{where}: {name} is missing: give a number from {low} to {high}")
        elif type(value) not in (int, float) or not low <= value <= high:
            problems.append(f"{where}: {name} is {value!r}: give a number from {low} to {high}")
        setattr(parsed, name, value)
    for name in other_keys & set(scene_type.__slots__):
        setattr(parsed, name, table.get(name, False if name == "idempotent" else ""))
    return parsed


def _validate(scene: Scene, problems: list[str]) -> None:
    names = [service.name for service in scene.services]
    if not scene.services or not scene.kinds:
        problems.append("a scene needs at least one [[service]] and one [[kind]]: add them")
    for kind in scene.kinds:
        if kind.service not in names:
            problems.append(
                f"kind {kind.name!r}: unknown service {kind.service!r}: use one of {names}"
            )
        if not isinstance(kind.idempotent, bool):
            problems.append(f"kind {kind.name!r}: idempotent must be true or false")
    for fault in scene.faults:
        if fault.kind not in FAULTS:
            problems.append(f"unknown fault {fault.kind!r}: use one of {', '.join(FAULTS)}")
