"""A service is removed while its calls run and wait: each still gets its answer."""

import curio
import pytest

from ...config.document import Document
from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from ...pipeline.admit import Admit
from ...policy.concurrency import ConcurrencyLimit
from ...policy.tickets import Ticket
from ...timers import Timers
from .fakes import Act, Bench


def test_a_call_that_waits_is_refused_in_time_after_its_service_is_gone():
    bench = Bench(Act.ANSWER)
    state = bench.services.by_name["s"]
    state.queue.limit = ConcurrencyLimit(1, 1, 1)
    state.queue.offer(Ticket("other", float("inf"), 0.0), bench.clock.now())
    admit = Admit(bench.services, bench.clock)
    timers = Timers(bench.clock)
    admit.subscribe(timers)

    async def wait():
        await curio.spawn(timers.run, daemon=True)
        task = await curio.spawn(admit.enter, bench.exchange(window=0.2), daemon=True)
        while not admit.queued_calls:
            await curio.sleep(0)
        bench.services.update(Document.empty())
        await curio.timeout_after(5.0, task.wait)
        return task.exception

    refusal = curio.run(wait)
    assert isinstance(refusal, Refusal)
    assert refusal.outcome is Outcome.NOT_RUN


def test_a_call_that_was_admitted_finds_no_upstream_of_a_removed_service():
    bench = Bench(Act.ANSWER)
    exchange = bench.exchange()
    bench.services.state_of(exchange)
    bench.services.update(Document.empty())
    with pytest.raises(Refusal) as caught:
        bench.run(exchange)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert bench.network.received == []


def test_a_call_that_comes_too_late_is_told_so():
    bench = Bench(Act.ANSWER)
    exchange = bench.exchange()
    bench.services.update(Document.empty())
    with pytest.raises(Refusal) as caught:
        bench.run(exchange)
    assert caught.value.reason is Reason.NO_SERVICE
