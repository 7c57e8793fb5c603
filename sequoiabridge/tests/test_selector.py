"""The lazy selector: unawaited events, and file descriptors that are reused."""

import os
import socket
from selectors import EVENT_READ, EVENT_WRITE

import pytest

from ..selector import Descriptor, LazySelector


@pytest.fixture
def selector():
    lazy = LazySelector()
    yield lazy
    lazy.close()


def pair():
    local_end, remote_end = socket.socketpair()
    return local_end, remote_end, Descriptor(local_end.fileno())


def test_event_without_a_waiter_is_not_reported_and_causes_no_busy_loop(selector):
    local_end, remote_end, descriptor = pair()
    selector.register(descriptor, EVENT_READ, "task")
    selector.unregister(descriptor)
    remote_end.send(b"x")
    assert selector.select(0) == []
    assert local_end.fileno() not in selector.registered, "every later select would return at once"
    selector.register(descriptor, EVENT_READ, "task")
    assert [(key.data, mask) for key, mask in selector.select(0)] == [("task", EVENT_READ)]


def test_wait_for_another_event_on_a_registered_socket(selector):
    local_end, remote_end, descriptor = pair()
    selector.register(descriptor, EVENT_READ, "reader")
    selector.unregister(descriptor)
    selector.register(descriptor, EVENT_WRITE, "writer")
    assert [mask for _, mask in selector.select(0)] == [EVENT_WRITE]


def test_reused_descriptor_of_a_closed_socket_is_registered_again(selector):
    local_end, remote_end, descriptor = pair()
    number = local_end.fileno()
    selector.register(descriptor, EVENT_READ)
    selector.unregister(descriptor)
    local_end.close()
    other, sender = socket.socketpair()
    os.dup2(other.fileno(), number)
    again = Descriptor(number)
    selector.register(again, EVENT_READ, "new")
    sender.send(b"x")
    assert [key.data for key, _ in selector.select(0)] == ["new"]
    os.close(number)


def test_hang_up_wakes_the_waiter(selector):
    local_end, remote_end, descriptor = pair()
    selector.register(descriptor, EVENT_READ, "task")
    remote_end.close()
    assert [key.data for key, _ in selector.select(0)] == ["task"]
    with pytest.raises(KeyError):
        selector.get_key(Descriptor(9999))
