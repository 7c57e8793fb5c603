"""Short soak runs of crowds with fixed seeds, and tests of their checks."""

import os

import pytest

from ..crowds.observer import ProcessObserver
from .crowd_soak import DESCRIPTORS, MEMORY_MB, CrowdScenario, CrowdSoak
from .runner import run_soak


@pytest.mark.parametrize(
    ("scenario", "seed", "seconds"),
    [(CrowdScenario.RANDOM, 1, 18.0), (CrowdScenario.RETURNING, 1, 14.0)],
)
def test_daemons_bear_crowds_and_serve_others(scenario, seed, seconds):
    assert run_soak(CrowdSoak(seed, seconds, daemons=3, scenario=scenario)) == []


class FakeProcess:
    def __init__(self, returncode=None):
        self.pid = os.getpid()
        self.returncode = returncode

    def poll(self):
        return self.returncode


class FakeDaemon:
    def __init__(self, returncode=None, down_since=None):
        self.name = "vm-1"
        self.process = FakeProcess(returncode)
        self.down_since = down_since


def check(daemon, memory=0, descriptors=0):
    """Return the violations that two looks at a process find."""
    soak = CrowdSoak(1, 10.0, 1, CrowdScenario.RANDOM)
    observer = soak.observers[daemon.process.pid] = ProcessObserver(daemon.process.pid)
    observer.look = lambda: None
    observer.highest_memory, observer.peak_descriptors = memory, descriptors
    soak.check_process(daemon)
    soak.check_process(daemon)
    soak.close()
    return soak.violations


def test_the_check_detects_a_process_that_ended_by_itself():
    assert len(check(FakeDaemon(returncode=-9))) == 1
    assert check(FakeDaemon(returncode=-9, down_since=1.0)) == []


def test_the_check_detects_a_process_that_leaves_the_bounds_of_its_machine():
    memory = MEMORY_MB * 1_000_000
    assert check(FakeDaemon(), memory, DESCRIPTORS) == []
    assert len(check(FakeDaemon(), memory + 1, DESCRIPTORS)) == 1
    assert len(check(FakeDaemon(), memory, DESCRIPTORS + 1)) == 1


def test_an_observer_reads_the_peaks_of_a_process():
    observer = ProcessObserver(os.getpid())
    observer.look()
    assert observer.highest_memory > 1_000_000 and observer.peak_descriptors > 2
