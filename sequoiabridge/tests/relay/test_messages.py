"""Datagrams between daemons: read back, and nothing unreadable does harm."""

import pytest

from ...balancing.load import UpstreamLoad
from ...relay.messages import LARGEST, Failed, Hello, Reported, Sent, decoded, encoded


@pytest.mark.parametrize(
    "message",
    [
        Hello("vm-1", "10.0.0.1:7", "here", 10.0),
        Sent("u1"),
        Reported("u1", UpstreamLoad(1, 2, 3, 7.0)),
        Failed("u1"),
    ],
)
def test_a_message_is_read_back(message):
    data = encoded(message)
    assert len(data) < LARGEST
    again = decoded(data)
    assert type(again) is type(message) and again.fields() == message.fields()


@pytest.mark.parametrize("data", [b"", b"\xff", b"[]", b"{}", b'["load","u"]', b'["new",1]', b"1"])
def test_what_is_no_message_is_none(data):
    assert decoded(data) is None
