"""An upstream that drained gets work again by its own newer word, and by nothing else."""

import curio
import pytest

from ...pipeline.returning import Returning
from ...upstreams.probes import Probe
from .fakes import Act, Bench


class FakeProber:
    """Answers each probe with what the test says."""

    def __init__(self, incarnation, drain=None, healthy=True):
        self.answer = Probe(0.001, 100)
        self.answer.incarnation, self.answer.drain = incarnation, drain
        self.answer.healthy = healthy
        self.asked = []

    async def probe(self, address, timeout):
        self.asked.append(address)
        return self.answer


def after_a_look(prober):
    """Return whether u1, which drained as incarnation 7, is in use after one look."""
    bench = Bench(Act.ANSWER, Act.ANSWER)
    pool = bench.services.by_name["s"].pool
    pool.drain("u1", 7, bench.clock.now())
    returning = Returning(bench.services, prober, bench.observer, bench.clock)

    async def look():
        await returning.look()
        await curio.sleep(0)

    curio.run(look)
    assert prober.asked == ["127.0.0.1:1"]
    back = pool.why_unusable(pool.upstreams["u1"], bench.clock.now()) == ""
    assert bench.observer.back == ([("u1", prober.answer.incarnation)] if back else [])
    return back


def test_a_newer_incarnation_ends_a_drain_and_is_told_to_the_fleet():
    assert after_a_look(FakeProber(8))


@pytest.mark.parametrize(
    "prober",
    [FakeProber(7), FakeProber(None), FakeProber(8, drain=8), FakeProber(8, healthy=False)],
    ids=["the same one", "no word", "leaving again", "not healthy"],
)
def test_nothing_else_ends_a_drain(prober):
    assert not after_a_look(prober)
