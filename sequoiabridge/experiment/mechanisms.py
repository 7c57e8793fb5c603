"""Constants of `balancing` that an experiment can override, and mechanisms that it can disable."""

from __future__ import annotations

from importlib import import_module

from ..balancing.refusals import RETRY_AFTER
from ..exceptions import SequoiaError

MODULES = (
    "probe_limiter",
    "retry_budget",
    "candidates",
    "cost_model",
    "chooser",
    "route_stats",
    "overload",
    "dispatch",
    "upstream_stats",
    "hedging",
    "attempt_recorder",
    "prior_wait",
    "refusals",
)
"""Modules of `balancing` whose constants can be overridden."""

NEVER = 1e9
"""A time in seconds, or a factor, that is never reached."""

WITHOUT: dict[str, dict[str, float]] = {
    "asking": {"chooser.MAX_PROBED": 0},
    "hedging": {"hedging.FIRST_CHECK_FACTOR": NEVER, "hedging.MIN_FIRST_CHECK_SHARE": NEVER},
    "repeats": {"dispatch.MAX_SENDS": 1},
    "holding": {"chooser.HOLD_SHARE": 0.0},
    "crowding": {"overload.PRIOR_CALLS": NEVER},
    "patience": {"prior_wait.MIN_USUAL_SHARE": NEVER},
    "others": {"cost_model.MIN_OVERLOAD_WEIGHT": 0.0, "cost_model.SATURATED_FACTOR": 1.0},
    "pace": {"upstream_stats.LATENCY_RATIO_WEIGHT": 0.0},
    "failures": {"upstream_stats.FAILURE_DECAY_SECONDS": 1e-6},
    "overdue": {"cost_model.OVERDUE_COST": 0.0},
    "coming-back-at-once": {"refusals.SHORT_RETRY_AFTER": RETRY_AFTER},
    "far-cost": {"chooser.MIN_REMOTE_GAIN": -NEVER},
}
"""Overrides that disable each mechanism. To disable messages between VMs, set `words_lost` in the
scene."""


class ExperimentError(SequoiaError):
    """An argument of an experiment is not valid; the message says which values are."""

    exit_code = 2


def parse_overrides(sets: list[str], without: list[str]) -> dict[str, float]:
    """Return the values of the constants to override, by `module.NAME`.

    Args:
        sets: Overrides as `module.NAME=VALUE`.
        without: Mechanisms to disable; keys of `WITHOUT`.

    Raises:
        ExperimentError: An argument is not valid; the message lists all that are not.
    """
    overrides: dict[str, float] = {}
    problems: list[str] = []
    for text in sets:
        name, _, value = text.partition("=")
        problem = _check_override(name, value)
        if problem:
            problems.append(problem)
        else:
            overrides[name] = float(value)
    for mechanism in without:
        if mechanism in WITHOUT:
            overrides.update(WITHOUT[mechanism])
        else:
            problems.append(f"unknown mechanism {mechanism!r}: use one of {', '.join(WITHOUT)}")
    if problems:
        raise ExperimentError("; ".join(problems))
    return overrides


def tunable_constants() -> dict[str, float]:
    """Return the values of all constants that can be overridden, by `module.NAME`."""
    constants: dict[str, float] = {}
    for module in MODULES:
        for name, value in vars(_import_balancing_module(module)).items():
            if name.isupper() and type(value) in (int, float):
                constants[f"{module}.{name}"] = value
    return constants


def apply_overrides(overrides: dict[str, float]) -> None:
    """Set constants in this process. An int stays an int if the new value is whole."""
    known = tunable_constants()
    for name, value in overrides.items():
        module, _, constant = name.partition(".")
        is_integer = type(known[name]) is int and value == int(value)
        setattr(_import_balancing_module(module), constant, int(value) if is_integer else value)


def _check_override(name: str, value: str) -> str:
    if name not in tunable_constants():
        return f"unknown constant {name!r}: use module.NAME, such as chooser.HOLD_SHARE"
    try:
        float(value)
    except ValueError:
        return f"{name}: {value!r} is not a number"
    return ""


def _import_balancing_module(name: str):
    return import_module(f"..balancing.{name}", __package__)
