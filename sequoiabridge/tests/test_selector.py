"""The selector: a socket that is not waited for costs nothing, and a reused number is no mix-up."""

import os
import socket
from selectors import EVENT_READ, EVENT_WRITE

import pytest

from ..selector import Descriptor, KeptSelector


@pytest.fixture
def selector():
    kept = KeptSelector()
    yield kept
    kept.close()


def pair():
    near, far = socket.socketpair()
    return near, far, Descriptor(near.fileno())


def test_event_that_nobody_waits_for_is_not_reported_and_does_not_spin(selector):
    near, far, descriptor = pair()
    selector.register(descriptor, EVENT_READ, "task")
    selector.unregister(descriptor)
    far.send(b"x")
    assert selector.select(0) == []
    assert near.fileno() not in selector.kept, "or each later select would return at once"
    selector.register(descriptor, EVENT_READ, "task")
    assert [(key.data, mask) for key, mask in selector.select(0)] == [("task", EVENT_READ)]


def test_wait_for_another_event_on_a_kept_socket(selector):
    near, far, descriptor = pair()
    selector.register(descriptor, EVENT_READ, "reader")
    selector.unregister(descriptor)
    selector.register(descriptor, EVENT_WRITE, "writer")
    assert [mask for _, mask in selector.select(0)] == [EVENT_WRITE]


def test_reused_number_of_a_closed_socket_is_registered_again(selector):
    near, far, descriptor = pair()
    number = near.fileno()
    selector.register(descriptor, EVENT_READ)
    selector.unregister(descriptor)
    near.close()
    other, sender = socket.socketpair()
    os.dup2(other.fileno(), number)
    again = Descriptor(number)
    selector.register(again, EVENT_READ, "new")
    sender.send(b"x")
    assert [key.data for key, _ in selector.select(0)] == ["new"]
    os.close(number)


def test_hang_up_wakes_the_waiter(selector):
    near, far, descriptor = pair()
    selector.register(descriptor, EVENT_READ, "task")
    far.close()
    assert [key.data for key, _ in selector.select(0)] == ["task"]
    with pytest.raises(KeyError):
        selector.get_key(Descriptor(9999))
