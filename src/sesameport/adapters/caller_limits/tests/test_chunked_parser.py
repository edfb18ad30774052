"""Test that any bytes end with a body or a stated error, within the bounds."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from sesameport.adapters.caller_limits.bounds import BodyRefused, CallerBounds
from sesameport.adapters.caller_limits.chunked_parser import ChunkedParser
from sesameport.adapters.strict_http import FramingError

BOUNDS = CallerBounds.for_machine(
    max_trailer_bytes=200,
    max_trailer_line_bytes=100,
    max_chunk_line_bytes=60,
    max_extension_bytes=300,
)
MAX_BODY = 4_000
LARGEST_LINE = 100

sizes = st.one_of(
    st.lists(st.integers(1, 80), max_size=12),
    st.builds(
        lambda size, count: [size] * count, st.integers(1, 9), st.integers(1, 90)
    ),
)
extensions = st.sampled_from([b"", b"", b"", b";a=b", b" ;x", b";" + b"e" * 50])
trailers = st.lists(st.sampled_from([b"A: b", b"X: " + b"y" * 60]), max_size=3)
splits = st.lists(st.integers(1, 400), max_size=30)


def feed(parser, data, lengths):
    """Feed bytes in parts and check the bound after each; return the error, if any."""
    parts = []
    for length in lengths:
        parts.append(data[:length])
        data = data[length:]
    for part in (*parts, data):
        try:
            parser.feed(part)
        except (FramingError, BodyRefused) as exc:
            return exc
        if not parser.is_complete:
            assert parser.held_bytes() <= MAX_BODY + LARGEST_LINE
    return None


@settings(derandomize=True, max_examples=250, deadline=None)
@given(sizes, extensions, trailers, splits, st.binary(max_size=40))
@example([1] * 900, b"", [], [7] * 100, b"GET")
@example([3] * 40 + [4] * 40 + [3], b"", [], [], b"")
def test_body_within_the_bounds_is_parsed_in_any_chunking(
    sizes, extension, lines, lengths, following
):
    # Guards against bytes that are lost or doubled between two reads or two runs.
    body = bytes(number % 251 for number in range(sum(sizes)))
    data, position = b"", 0
    for size in sizes:
        chunk = body[position : position + size]
        # Extensions of all chunks together would exceed their bound.
        mark = extension if position < 300 and len(sizes) < 6 else b""
        data += b"%x%b\r\n%b\r\n" % (size, mark, chunk)
        position += size
    data += b"0\r\n" + b"".join(line + b"\r\n" for line in lines) + b"\r\n"
    parser = ChunkedParser(BOUNDS, MAX_BODY)
    assert feed(parser, data + following, lengths) is None
    assert parser.is_complete
    assert (parser.body(), parser.rest) == (body, following)


tokens = st.sampled_from(
    [b"1\r\nx\r\n" * 20, b"\r\n", b"\n", b"\r", b"0\r\n", b"5", b";", b"fffffff\r\n"]
    + [b"a\r\n0123456789\r\n", b"-1\r\n", b"X: y\r\n", b"z" * 70, b"3c\r\n"]
)


@settings(derandomize=True, max_examples=250, deadline=None)
@given(st.lists(st.one_of(tokens, st.binary(max_size=30)), max_size=40), splits)
def test_any_bytes_end_with_a_body_or_a_stated_error(parts, lengths):
    # Guards against exceptions without a status, and against growth without a bound.
    data = b"".join(parts)
    parser = ChunkedParser(BOUNDS, MAX_BODY)
    error = feed(parser, data, lengths)
    whole = ChunkedParser(BOUNDS, MAX_BODY)
    # The result does not depend on how the bytes are split.
    assert type(feed(whole, data, [])) is type(error)
    assert whole.is_complete == parser.is_complete
    if isinstance(error, BodyRefused):
        assert error.status in (413, 431)
