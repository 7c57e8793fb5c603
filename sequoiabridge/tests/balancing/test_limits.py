"""Tests of the limits that all VMs spend together: leases, permits and the times of return."""

from random import Random

import pytest

from ...balancing.limit_leases import (
    LEASE_SECONDS,
    MINORITY_FACTOR,
    CoordinatorChoice,
    LeaseRegister,
    rank,
)
from ...balancing.permits import MAX_WAIT, MIN_RATE, PermitIssuer, burst_of
from ...balancing.return_schedule import MAX_RETURN_SECONDS, ReturnSchedule
from .limit_simulation import LimitSimulation

SIZES = [13, 110]
LIMITS = [0.5, 1.0, 1.3, 5.0, 20.0]


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("limit", LIMITS)
def test_a_limit_is_kept_and_used_by_all_vms_together(vms, limit):
    simulation = LimitSimulation(vms, limit, calls=10.0 * limit + 20.0)
    simulation.run(30.0)
    assert simulation.worst_excess() <= 0.0
    assert simulation.rate(105.0) >= 0.75 * limit


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("loss", [0.1, 0.3, 0.6])
def test_lost_and_late_messages_do_not_break_a_limit(vms, loss):
    simulation = LimitSimulation(vms, 2.0, calls=40.0, loss=loss, delay=0.5)
    simulation.run(60.0)
    assert simulation.worst_excess(excuses=False) <= 0.0


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("seed", range(6))
def test_restarts_pauses_and_cuts_do_not_break_a_limit(vms, seed):
    simulation = LimitSimulation(vms, 1.0 + seed, calls=60.0, loss=0.1, seed=seed)
    random = Random(seed)
    simulation.run(5.0)
    for _ in range(40):
        simulation.run(random.expovariate(1.0))
        vm = random.choice(list(simulation.vms.values()))
        disturb = random.choice((simulation.restart, simulation.pause, simulation.cut))
        if disturb == simulation.restart:
            disturb(vm)
        else:
            disturb(vm, random.uniform(0.5, 6.0))
    assert simulation.worst_excess() <= 0.0
    assert simulation.rate(105.0) >= 0.3 * simulation.limit


@pytest.mark.parametrize("vms", SIZES)
def test_restarts_of_all_vms_do_not_break_a_limit(vms):
    simulation = LimitSimulation(vms, 3.0, calls=60.0)
    for _ in range(10):
        simulation.run(3.5)
        for vm in simulation.vms.values():
            simulation.restart(vm)
    assert simulation.worst_excess(excuses=False) <= 0.0
    assert simulation.arrivals


@pytest.mark.parametrize("vms", SIZES)
def test_vms_that_cannot_reach_each_other_do_not_break_a_limit(vms):
    simulation = LimitSimulation(vms, 10.0, calls=200.0)
    simulation.run(8.0)
    for vm in simulation.vms.values():
        simulation.cut(vm, 10.0)
    simulation.run(30.0)
    assert simulation.worst_excess(excuses=False) <= 0.0


@pytest.mark.parametrize("vms", SIZES)
def test_the_limit_is_used_again_after_its_coordinator_has_gone(vms):
    simulation = LimitSimulation(vms, 5.0, calls=100.0)
    simulation.run(6.0)
    first = simulation.vms["vm-0"].choice.holder
    simulation.cut(simulation.vms[first], 1000.0)
    simulation.run(20.0)
    assert simulation.vms["vm-0" if first != "vm-0" else "vm-1"].choice.holder != first
    assert simulation.rate(simulation.now - 10.0) >= 0.75 * 5.0


def test_a_lease_counts_from_the_receipt_that_it_answers():
    register = LeaseRegister()
    register.renew("a", 100.0, 101.0)
    assert register.count(100.0 + LEASE_SECONDS - 0.1) == 1
    assert register.count(100.0 + LEASE_SECONDS) == 0
    register.renew("a", 100.0, 100.0 + LEASE_SECONDS + 1.0)
    register.renew("b", 200.0, 104.0)
    assert register.count(104.0) == 0


def test_only_the_coordinator_of_a_majority_spends_whole_limits():
    register = LeaseRegister()
    for number in range(7):
        register.renew(f"vm-{number}", 100.0, 100.0)
    assert register.share(13, 100.0) == 1.0
    assert register.share(14, 100.0) == MINORITY_FACTOR * 0.5


def test_a_vm_grants_no_second_lease_before_the_first_has_ended():
    first, second, own = sorted("abc", key=rank)
    choice, granted = CoordinatorChoice(own, 0.0), []
    for step in range(200):
        now = step * 0.3
        answering = first if step % 40 < 20 else second
        for message in choice.tick([first, second, own], now):
            if message.receipt_at is not None:
                granted.append((now, message.vm))
            if message.vm in (answering, own):
                choice.record_receipt(message.vm, now, now)
    assert len({vm for _, vm in granted}) > 1
    for (at, vm), (next_at, next_vm) in zip(granted, granted[1:], strict=False):
        assert vm == next_vm or next_at - at >= LEASE_SECONDS


def test_a_new_process_grants_no_lease_beside_that_of_its_predecessor():
    choice = CoordinatorChoice("me", 50.0)
    for step in range(6):
        now = 50.0 + 0.3 * step
        for message in choice.tick(["me"], now):
            assert message.receipt_at is None
            choice.record_receipt("me", now, now)
        assert choice.coordinator(now) is None


def requests(issuer, limit, times, priority=0, share=1.0):
    """Return the number of permits granted at the given times."""
    return sum(issuer.request("u", limit, share, priority, at).granted for at in times)


@pytest.mark.parametrize("limit", [0.0, 0.5, 1.0, 1.3, 10.0])
def test_permits_of_any_4_s_are_within_the_rule(limit):
    issuer = PermitIssuer()
    requests(issuer, limit, [0.0])
    times = [30.0 + n / 100 for n in range(400)]
    assert requests(issuer, limit, times) <= 6.0 * limit + 5.0
    later = [40.0 + n / 100 for n in range(4000)]
    granted = requests(issuer, limit, later)
    assert granted >= 40.0 * max(MIN_RATE, limit) - 1.0 and granted <= 41.0 * limit + 10.0


def test_a_new_coordinator_grants_nothing_at_first():
    assert requests(PermitIssuer(), 1.0, [0.0, 0.5, 0.9]) == 0


def test_a_limit_that_falls_applies_to_permits_that_were_saved_up():
    issuer = PermitIssuer()
    requests(issuer, 20.0, [0.0])
    assert requests(issuer, 1.0, [10.0 + n / 1000 for n in range(100)]) <= burst_of(1.0)


def test_urgent_calls_get_permits_first():
    issuer, granted = PermitIssuer(), {0: 0, 5: 0}
    for step in range(3000):
        priority = (5, 0)[step % 2]
        granted[priority] += issuer.request("u", 1.0, 1.0, priority, step / 100).granted
    assert granted[0] >= 20 and granted[5] <= 5


def test_less_urgent_calls_get_what_urgent_ones_leave():
    issuer, granted = PermitIssuer(), {0: 0, 5: 0}
    for step in range(3000):
        priority = 0 if step % 500 == 0 else 5
        granted[priority] += issuer.request("u", 2.0, 1.0, priority, step / 100).granted
    assert granted[5] >= 35


def test_refused_requests_are_told_different_times():
    issuer = PermitIssuer()
    waits = [issuer.request("u", 2.0, 1.0, 0, 0.0).wait for _ in range(6)]
    assert waits == sorted(waits) and waits[:4] == [0.5, 1.0, 1.5, 2.0] and max(waits) == MAX_WAIT


def test_refused_callers_return_one_after_the_other_at_the_rate_of_permits():
    schedule = ReturnSchedule(Random(1))
    times = [schedule.retry_after("s", 0, 2.0, 0.0) for _ in range(6)]
    assert all(abs(at - 0.5 * (n + 1)) <= 0.1 * (n + 1) for n, at in enumerate(times))
    crowd = [schedule.retry_after("s", 0, 2.0, 0.0) for _ in range(100)]
    assert max(crowd) <= MAX_RETURN_SECONDS
    for start in range(0, 30, 5):
        assert sum(start / 10 <= at < start / 10 + 0.5 for at in crowd) <= 50


def test_an_urgent_caller_does_not_return_behind_less_urgent_ones():
    schedule = ReturnSchedule(Random(1))
    late = [schedule.retry_after("s", 3, 2.0, 0.0) for _ in range(5)][-1]
    assert schedule.retry_after("s", 0, 2.0, 0.0) < late
