"""The harness of the matrix itself: jumping time, and freezing as SIGSTOP does."""

import curio
import pytest

from .virtual import Owner, Stuck, VirtualClock, adopt, run


def test_time_jumps_and_timeouts_fire_in_order():
    clock, seen = VirtualClock(), []

    async def late(name, delay):
        await curio.sleep(delay)
        seen.append((name, round(clock.now(), 3)))

    async def main():
        async with curio.TaskGroup() as group:
            await group.spawn(late, "b", 90.0)
            await group.spawn(late, "a", 0.5)
        async with curio.ignore_after(5.0):
            await curio.Event().wait()
        seen.append(("timeout", round(clock.now(), 3)))

    run(clock, main)
    assert seen == [("a", 0.5), ("b", 90.0), ("timeout", 95.0)]


def test_a_frozen_owner_does_nothing_and_finds_its_timeout_after_the_thaw():
    clock, owner, seen = VirtualClock(), Owner("vm1"), []

    async def wait():
        async with curio.ignore_after(1.0):
            await curio.sleep(0.6)
            seen.append(("work", round(clock.now(), 3)))
            await curio.sleep(0.6)
            seen.append(("too much", 0))
        seen.append(("over", round(clock.now(), 3)))

    async def main():
        await adopt(owner, wait)
        await curio.sleep(0.5)
        owner.freeze()
        await curio.sleep(10.0)
        assert seen == []
        await owner.thaw()
        await curio.sleep(1.0)

    run(clock, main)
    assert seen == [("work", 10.5), ("over", 10.5)]


def test_a_wait_without_end_is_reported():
    async def main():
        await curio.Event().wait()

    with pytest.raises(Stuck):
        run(VirtualClock(), main)
