"""Each mechanism must improve the score of a simulated load that it is meant for.

The tests guard against a mechanism that has no effect or makes the score worse, and against runs
that differ although their seed is the same.
"""

import pytest

from ...experiment.mechanisms import parse_overrides
from ...experiment.scene import parse_scene
from ...experiment.trial import Trial, run_trials

CROWDED = """
seconds = 12.0
vms = 8
data_centres = 2
[[service]]
name = "ledger"
upstreams = 8
[[kind]]
name = "lookup"
service = "ledger"
idempotent = true
per_second = 33.0
work = 0.21
target = 0.6
deadline = 4.0
timeout = 2.0
[[kind]]
name = "posting"
service = "ledger"
per_second = 14.0
work = 0.28
target = 0.8
deadline = 5.0
timeout = 2.5
worth = 2.0
late_worth = 0.2
[[fault]]
kind = "burst"
at = 3.0
seconds = 4.0
factor = 2.0
"""
"""A burst on upstreams of four slots, which take 1.7 times as long per call when full."""


def mean_worths(scene, seeds=3, **trials):
    """Return the mean worth by trial; the value of a trial is a mechanism to disable, or None."""
    made = [
        Trial(n, overrides=parse_overrides([], [off] if off else [])) for n, off in trials.items()
    ]
    run_trials(parse_scene(scene, "test"), made, seeds, 3, lambda done, total: None)
    return {trial.name: trial.mean("worth").value for trial in made}


def test_burst_does_not_fill_upstreams_beyond_peak_throughput():
    worth = mean_worths(CROWDED, own=None, fill_up="others")
    assert worth["own"] > worth["fill_up"] + 0.08


@pytest.mark.parametrize("seed", [1, 2])
def test_runs_with_the_same_seed_are_equal(seed):
    from ...experiment.simulation import simulate

    scene = parse_scene(CROWDED.replace("seconds = 12.0", "seconds = 4.0"), "test")
    first, again = simulate(scene, seed, "own"), simulate(scene, seed, "own")
    assert (first.worth, first.in_time_by_window) == (again.worth, again.in_time_by_window)


SHEDDING = CROWDED.replace("seconds = 12.0", "seconds = 10.0").replace(
    'kind = "burst"\nat = 3.0\nseconds = 4.0\nfactor = 2.0',
    'kind = "shed"\nat = 1.0\nseconds = 8.0\nfactor = 0.55',
)
"""All upstreams reject 55% of the calls by fault, although they have free slots."""


def test_short_retry_after_gains_worth_if_upstreams_reject_by_fault():
    worth = mean_worths(SHEDDING, 8, own=None, later="coming-back-at-once")
    assert worth["own"] > worth["later"] + 0.01
