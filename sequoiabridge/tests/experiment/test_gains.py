"""Each gain of the decisions, by replaying the load that it answers on the model.

A margin over several seeds is asked for, half of what was measured or less; a mechanism that is
switched off, or turned round, loses it.
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
"""A burst on upstreams of four slots that are 1.7 times slower when full."""


def worths(scene, seeds=3, **trials):
    """Return the mean worth of each trial, by name; each is a mechanism to switch off, or None."""
    made = [
        Trial(n, overrides=parse_overrides([], [off] if off else [])) for n, off in trials.items()
    ]
    run_trials(parse_scene(scene, "test"), made, seeds, 3, lambda done, total: None)
    return {trial.name: trial.mean("worth").value for trial in made}


def test_a_burst_does_not_fill_upstreams_so_far_that_they_do_less():
    found = worths(CROWDED, own=None, fill_up="others")
    assert found["own"] > found["fill_up"] + 0.08


@pytest.mark.parametrize("seed", [1, 2])
def test_a_play_repeats(seed):
    from ...experiment.play import simulate

    scene = parse_scene(CROWDED.replace("seconds = 12.0", "seconds = 4.0"), "test")
    first, again = simulate(scene, seed, "own"), simulate(scene, seed, "own")
    assert (first.worth, first.in_time_by_window) == (again.worth, again.in_time_by_window)


REFUSING = CROWDED.replace("seconds = 12.0", "seconds = 10.0").replace(
    'kind = "burst"\nat = 3.0\nseconds = 4.0\nfactor = 2.0',
    'kind = "shed"\nat = 1.0\nseconds = 8.0\nfactor = 0.55',
)
"""All upstreams refuse 55 calls in 100 for no reason, while they have places."""


def test_who_was_refused_by_fault_alone_is_in_time_more_often_if_told_to_come_at_once():
    found = worths(REFUSING, 8, own=None, later="coming-back-at-once")
    assert found["own"] > found["later"] + 0.01
