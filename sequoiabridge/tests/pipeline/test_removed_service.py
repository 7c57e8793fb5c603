"""Tests that each call of a removed service is still answered."""

import curio
import pytest

from ...config.document import Document
from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from ...pipeline.admit import Admit
from ...policy.concurrency import ConcurrencyLimit
from ...policy.tickets import Ticket
from ...timers import Timers
from .fakes import Behaviour, DispatchScene


def test_queued_call_is_refused_in_time_after_its_service_is_removed():
    scene = DispatchScene(Behaviour.ANSWER)
    state = scene.services.by_name["s"]
    state.queue.limit = ConcurrencyLimit(1, 1, 1)
    state.queue.offer(Ticket("other", float("inf"), 0.0), scene.clock.now())
    admit = Admit(scene.services, scene.clock)
    timers = Timers(scene.clock)
    admit.subscribe(timers)

    async def wait():
        await curio.spawn(timers.run, daemon=True)
        task = await curio.spawn(admit.enter, scene.exchange(window=0.2), daemon=True)
        while not admit.queued_calls:
            await curio.sleep(0)
        scene.services.update(Document.empty())
        await curio.timeout_after(5.0, task.wait)
        return task.exception

    refusal = curio.run(wait)
    assert isinstance(refusal, Refusal)
    assert refusal.outcome is Outcome.NOT_RUN


def test_admitted_call_finds_no_upstream_of_a_removed_service():
    scene = DispatchScene(Behaviour.ANSWER)
    exchange = scene.exchange()
    scene.services.state_of(exchange)
    scene.services.update(Document.empty())
    with pytest.raises(Refusal) as caught:
        scene.run(exchange)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert scene.connector.received == []


def test_call_matched_before_its_service_was_removed_is_refused():
    scene = DispatchScene(Behaviour.ANSWER)
    exchange = scene.exchange()
    scene.services.update(Document.empty())
    with pytest.raises(Refusal) as caught:
        scene.run(exchange)
    assert caught.value.reason is Reason.NO_SERVICE
