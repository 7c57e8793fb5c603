"""A scene: what there is, how many callers come, and what goes wrong when. Read from TOML."""

from __future__ import annotations

import tomllib
from pathlib import Path

from ..exceptions import SequoiaError

SECONDS_RANGE = (0.1, 3600.0)
COUNT_RANGE = (1, 1000)
SHARE_RANGE = (0.0, 1.0)
FACTOR_RANGE = (0.0, 1000.0)


class SceneError(SequoiaError):
    """A scene cannot be played; the message names each fault and its remedy."""

    exit_code = 2


class Service:
    """Upstreams of one kind; times in seconds.

    Attributes:
        upstreams: How many there are, shared evenly between the data centres.
        slots: Calls that each runs at a time.
        queue: Calls that wait at each at most; one more is refused.
        full_from: Share of slots above which all calls there take `full_factor` times as long.
        noisy_share, noisy_factor, noisy_every: Neighbours make work take `noisy_factor` times as
            long for that share of time; that is drawn anew every so many seconds.
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
    """Calls of one kind; times in seconds.

    Attributes:
        per_second: How many come from all callers.
        work, spread: Median of the work time, and the spread of its logarithm.
        worth, late_worth: What an answer earns in time and after.
        tries: How often a caller comes back after the first time.
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
    """Something that goes wrong at `at` seconds for `seconds`.

    Attributes:
        kind: One of `FAULTS`.
        share: Share of the upstreams, callers or VMs that it concerns.
        factor: How strong it is.
    """

    __slots__ = ("kind", "at", "seconds", "share", "factor")


FAULTS = {
    "burst": "`factor` times as many calls",
    "slow": "a share of the upstreams works `factor` times as long",
    "shed": "a share of the upstreams refuses `factor` (0 to 1) of the calls",
    "dark": "a share of the upstreams answers nothing",
    "abuse": "a share of the callers comes back at once, `factor` times more often",
    "restart": "a share of the VMs loses all that it knows at `at`",
    "deaf": "a share of the VMs neither hears nor tells others anything",
}


class Scene:
    """What is played.

    Attributes:
        seconds: How long calls come.
        vms, data_centres: How many there are.
        near, far: Seconds one way inside a data centre and between two.
        words_lost: Share of the words between VMs that are lost.
        probes_per_second: Health checks that an upstream may get a second from all VMs.
        far_megabyte: What moving a megabyte between data centres costs, in answers in time.
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
"""Default (None where a number must be given) and bounds of each number."""


def load_scene(path: Path) -> Scene:
    """Return the scene of a file.

    Raises:
        SceneError: It cannot be played; all faults are named.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SceneError(f"{path}: cannot be read ({error}). Name a scene's file.") from error
    return parse_scene(text, path.stem)


def parse_scene(text: str, name: str) -> Scene:
    """Return the scene that a TOML text describes.

    Raises:
        SceneError: It cannot be played; all faults are named.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SceneError(f"{name}: no TOML: {error}. Mend that line.") from error
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
        problems.append(f"{key} is no list of tables: write [[{key}]]")
        return []
    return [
        _parse_table(scene_type, table, f"{key} {index}", problems, other_keys)
        for index, table in enumerate(tables, 1)
    ]


def _parse_table(
    scene_type: type, table: dict, where: str, problems: list[str], other_keys: set[str]
):
    """Return an object of a kind with its numbers from a table."""
    parsed, numbers = scene_type(), NUMBER_FIELDS[scene_type]
    for unknown in sorted(set(table) - set(numbers) - other_keys):
        problems.append(f"{where}: {unknown} is not known: leave it out")
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
        problems.append("a scene needs a [[service]] and a [[kind]] at least: add them")
    for kind in scene.kinds:
        if kind.service not in names:
            problems.append(f"kind {kind.name!r}: no service {kind.service!r}: name one of {names}")
        if not isinstance(kind.idempotent, bool):
            problems.append(f"kind {kind.name!r}: idempotent is true or false")
    for fault in scene.faults:
        if fault.kind not in FAULTS:
            problems.append(f"no fault {fault.kind!r}: name one of {', '.join(FAULTS)}")
