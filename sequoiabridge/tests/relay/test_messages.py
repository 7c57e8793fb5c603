"""Datagrams between daemons: valid ones are decoded, invalid ones ignored."""

import pytest

from ...balancing.load import UpstreamLoad
from ...relay.messages import (
    MAX_DATAGRAM_BYTES,
    CallFailed,
    CallSent,
    Hello,
    LoadReport,
    decode_message,
    encode_message,
)


@pytest.mark.parametrize(
    "message",
    [
        Hello("vm-1", "10.0.0.1:7", "here", 10.0),
        CallSent("u1"),
        LoadReport("u1", UpstreamLoad(1, 2, 3, 7.0)),
        CallFailed("u1"),
    ],
)
def test_a_message_can_be_decoded_again(message):
    data = encode_message(message)
    assert len(data) < MAX_DATAGRAM_BYTES
    decoded = decode_message(data)
    assert type(decoded) is type(message) and decoded.fields() == message.fields()


@pytest.mark.parametrize("data", [b"", b"\xff", b"[]", b"{}", b'["load","u"]', b'["new",1]', b"1"])
def test_invalid_datagrams_are_ignored(data):
    assert decode_message(data) is None
