"""Which requests have the same fingerprint."""

import curio
import pytest

from ...pipeline.buffering import ReplayableBody
from ...pipeline.exchange import BytesBody, Request
from ...relay.bodies import PartlyBufferedBody
from ...relay.fingerprints import request_fingerprint


def request(method=b"POST", target=b"/x", host=b"a", body=b"1", peer="10.0.0.1:1", length=None):
    """Return a request with a buffered body."""
    length = len(body) if length is None else length
    return Request(method, target, [(b"host", host)], length, ReplayableBody(body), peer)


def test_a_request_has_one_fingerprint_whatever_address_and_port_it_comes_from():
    prints = {request_fingerprint(request(peer=peer)) for peer in ("10.0.0.1:1", "10.9.0.2:7")}
    assert len(prints) == 1


@pytest.mark.parametrize(
    "more", [{"method": b"PUT"}, {"target": b"/y"}, {"host": b"b"}, {"body": b"2"}]
)
def test_requests_that_differ_have_different_fingerprints(more):
    assert request_fingerprint(request()) != request_fingerprint(request(**more))


def streamed(prefix, length=2_000_000):
    """Return a request whose body is streamed."""
    body = PartlyBufferedBody(prefix, BytesBody(b"rest"))
    return Request(b"POST", b"/upload", [(b"host", b"a")], length, body, "10.0.0.1:1")


def test_streamed_bodies_of_another_beginning_or_length_have_different_fingerprints():
    prints = {
        request_fingerprint(streamed(b"one")),
        request_fingerprint(streamed(b"two")),
        request_fingerprint(streamed(b"one", 2_000_001)),
    }
    assert len(prints) == 3


def test_the_prefix_of_a_streamed_body_is_read_first():
    assert curio.run(streamed(b"one").body.open().read) == b"one"
