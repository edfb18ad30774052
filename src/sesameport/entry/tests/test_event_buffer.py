"""Test which bytes of a broken or malformed event stream are forwarded."""

import pytest

from sesameport.entry.event_buffer import (
    MAX_EVENT_BYTES,
    EventBuffer,
    EventLengthLimit,
)
from sesameport.entry.requests import IncompleteResponse


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\n\r\n"])
def test_events_are_forwarded_once_their_end_has_arrived(end):
    buffer = EventBuffer()
    event = b"id: 4\ndata: a" + end
    received = b"".join(buffer.feed(bytes([byte])) for byte in event * 3 + b"id: 5\n")
    assert received == event * 3
    assert buffer.last_id == "4"


def test_stray_carriage_return_does_not_hold_back_events():
    # All events after a lone CR were kept, until 1 MiB raised an unhandled error.
    buffer = EventBuffer()
    assert buffer.feed(b"id: 1\ndata: a\rb\n\n") == b"id: 1\ndata: a\rb\n\n"
    assert buffer.feed(b"id: 2\ndata: c\n\nid: 3") == b"id: 2\ndata: c\n\n"


@pytest.mark.parametrize("checked", [EventBuffer, EventLengthLimit])
def test_event_without_end_is_an_incomplete_response(checked):
    stream = checked()
    stream.feed(b"data: a\n\n")
    with pytest.raises(IncompleteResponse):
        for _ in range(MAX_EVENT_BYTES // 1_000 + 2):
            stream.feed(b"x" * 1_000)


def test_long_stream_of_short_events_passes_the_length_limit():
    limit = EventLengthLimit()
    for part in (b"data: " + b"x" * 40_000, b"\n", b"\ndata: y" * 1, b"\n\n") * 20:
        assert limit.feed(part) == part


@pytest.mark.parametrize("checked", [EventBuffer, EventLengthLimit])
@pytest.mark.parametrize("end", ["", "id: 2", "id: 2\n", "id: 2\ndata: b\n", ":"])
@pytest.mark.parametrize("size", [1, 5, 100])
def test_stream_that_ends_inside_an_event_is_incomplete(checked, end, size):
    stream = checked()
    data = f"id: 1\ndata: a\n\n{end}".encode()
    for first in range(0, len(data), size):
        stream.feed(data[first : first + size])
    if not end:
        stream.finish()
        return
    with pytest.raises(IncompleteResponse):
        stream.finish()


@pytest.mark.parametrize("checked", [EventBuffer, EventLengthLimit])
@pytest.mark.parametrize("end", ["\n\n", "\r\n\r\n", "\r\r", "\n\n\n", "\n\n\r\n"])
def test_stream_is_complete_after_each_kind_of_event_end(checked, end):
    stream = checked()
    for byte in f"\nid: 1\ndata: a{end}".encode():
        stream.feed(bytes([byte]))
    stream.finish()
