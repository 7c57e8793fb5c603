"""The platform's headers, decoded."""

import pytest

from ...exceptions import Refusal
from ...outcome import Outcome, Reason
from ...pipeline.exchange import Answer, Request
from ...platform.dialect import PlatformDialect, parse_load

DIALECT = PlatformDialect()


def answer(status, **headers):
    pairs = [(name.replace("_", "-").encode(), value) for name, value in headers.items()]
    return Answer(status, pairs, 0, None)


def test_a_callers_words_are_taken_in_and_written_anew_for_the_upstream():
    sent = [(b"x-attempt-id", b"c1"), (b"x-deadline-ms", b"800"), (b"x-expect-instance", b"me")]
    request = Request(b"GET", b"/", [*sent, (b"accept", b"*/*")])
    metadata = DIALECT.call_metadata(request)
    assert (metadata.id, metadata.timeout) == (b"c1", 0.8)
    headers = DIALECT.upstream_headers(request, "i-1", 0.25)
    assert sorted(headers) == [
        (b"accept", b"*/*"),
        (b"x-attempt-id", b"c1"),
        (b"x-deadline-ms", b"250"),
        (b"x-expect-instance", b"i-1"),
    ]


@pytest.mark.parametrize("text", [b"", b"soon", b"-5", b"1.5"])
def test_a_time_that_cannot_be_read_is_none(text):
    request = Request(b"GET", b"/", [(b"x-deadline-ms", text)])
    assert DIALECT.call_metadata(request).timeout is None


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (b"3,0,8", (3, 0, 8, 1.0)),
        (b"1, 2,2,700", (1, 2, 2, 7.0)),
        (b"1,2", None),
        (b"a,b,c", None),
        (b"-1,0,2", None),
        (b"", None),
    ],
)
def test_a_load_is_read_or_is_none(text, load):
    found = parse_load([(b"x-instance-load", text)])
    assert (found and (found.running, found.waiting, found.slots, found.slowdown)) == load


def test_only_a_signed_answer_without_an_encoding_is_the_upstreams_own():
    assert DIALECT.answer_metadata(answer(200, x_server_signature=b"s")).genuine
    assert not DIALECT.answer_metadata(answer(200)).genuine
    coded = answer(200, x_server_signature=b"s", content_encoding=b"gzip")
    assert not DIALECT.answer_metadata(coded).genuine


def test_not_run_is_taken_from_the_upstreams_word_alone():
    assert DIALECT.answer_metadata(answer(503, x_not_executed=b"1")).not_run
    assert DIALECT.answer_metadata(answer(421)).not_run
    assert not DIALECT.answer_metadata(answer(503)).not_run
    assert not DIALECT.answer_metadata(answer(500)).not_run


def test_answers_to_other_calls_are_told_apart():
    assert DIALECT.is_answer_to(b"c1", [(b"x-attempt-id", b"c1")]) and DIALECT.is_answer_to(
        b"c1", []
    )
    assert not DIALECT.is_answer_to(b"c1", [(b"x-attempt-id", b"c0")])
    assert not DIALECT.is_answer_to(
        b"", [(b"x-attempt-id", b"c0")]
    ), "a health answer names no call"


def test_health_is_told_with_who_answers():
    metadata = DIALECT.health_metadata(answer(503, x_instance_id=b"i-1", x_instance_load=b"0,0,2"))
    assert (metadata.healthy, metadata.upstream, metadata.load.slots) == (False, "i-1", 2)


def test_a_refusal_says_when_to_come_back_in_parts_of_a_second():
    refusal = Refusal(503, Outcome.NOT_RUN, Reason.QUEUE_FULL, "Come back.", 0.15)
    made = DIALECT.refusal(refusal, "c1")
    assert made.status == 503 and (b"retry-after", b"0.150") in made.headers
