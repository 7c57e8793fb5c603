"""Encoding and reading of HTTP/1.1 messages, compared with `h11.Connection`."""

import h11
import pytest

from ..codec import (
    END_OF_MESSAGE,
    InputBuffer,
    UnsafeHeader,
    body_reader,
    body_writer,
    encode_body_event,
    encode_request_head,
    encode_response_head,
)
from ..header_fields import ValidatedHeaders

HOST = (b"host", b"a")
LENGTH = (b"content-length", b"5")


def test_heads_are_encoded_as_by_h11_connection():
    request = h11.Request(method=b"PUT", target=b"/x", headers=ValidatedHeaders([HOST, LENGTH]))
    assert encode_request_head(request) == h11.Connection(h11.CLIENT).send(request)
    server = h11.Connection(h11.SERVER)
    server.receive_data(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    server.next_event()
    response = h11.Response(status_code=200, headers=ValidatedHeaders([LENGTH]), reason=b"OK")
    assert encode_response_head(response) == server.send(response)


@pytest.mark.parametrize("value", [b"a\r\nSequoia-Outcome: not-run", b"a\nb", b"a\rb"])
def test_header_value_with_a_line_break_is_rejected(value):
    with pytest.raises(UnsafeHeader):
        encode_response_head(
            h11.Response(status_code=200, headers=ValidatedHeaders([(b"x", value)]))
        )


@pytest.mark.parametrize("step", [1, 7, 1000])
@pytest.mark.parametrize("length", [None, 600])
def test_body_is_read_completely_for_any_chunk_size(step, length):
    writer = body_writer(length)
    data = encode_body_event(writer, h11.Data(b"x" * 100)) + encode_body_event(
        writer, h11.Data(b"y" * 500)
    )
    data += encode_body_event(writer, END_OF_MESSAGE)
    received, reader, body, ended = InputBuffer(), body_reader(length), b"", False
    for start in range(0, len(data), step):
        received.feed(data[start : start + step])
        while not ended and (event := received.read_body_event(reader)) is not None:
            ended = type(event) is h11.EndOfMessage
            body += b"" if ended else bytes(event.data)
    assert ended and body == b"x" * 100 + b"y" * 500 and not received


def test_body_of_wrong_length_and_endless_chunk_header_are_rejected():
    with pytest.raises(h11.LocalProtocolError):
        encode_body_event(body_writer(3), h11.Data(b"four"))
    with pytest.raises(h11.LocalProtocolError):
        encode_body_event(body_writer(3), END_OF_MESSAGE)
    received = InputBuffer()
    received.feed(b"1" * 20_000)
    with pytest.raises(h11.LocalProtocolError):
        received.read_body_event(body_reader(None))
