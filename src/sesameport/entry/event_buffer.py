"""Buffer a stream of events, and detect a stream that ends inside an event.

A resumable stream must not break off inside an event, because the next run starts after
the last event that the caller received. Only complete events of it are forwarded.
"""

from sesameport.entry.requests import IncompleteResponse

__all__ = ["EventBuffer", "EventLengthLimit"]

MAX_EVENT_BYTES = 65_536
"""Largest event, bytes. A faulty server may send an event without an end."""

_EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_LINE_ENDS = b"\r\n"


def _end_of_events(data: bytes | bytearray) -> int:
    """Return the position after the last complete event, or 0."""
    last = 0
    for end in _EVENT_ENDS:
        position = data.rfind(end)
        if position >= 0:
            last = max(last, position + len(end))
    return last


def _check_end(is_inside_event: bool) -> None:
    if is_inside_event:
        raise IncompleteResponse("stream ended inside an event")


class EventLengthLimit:
    """Check the events of a stream that is forwarded as it arrives."""

    def __init__(self):
        self._length = 0
        self._is_inside = False
        self._last_bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes unchanged.

        Raises
        ------
        IncompleteResponse
            If an event exceeds the maximum length.
        """
        joined = self._last_bytes + data
        end = _end_of_events(joined)
        self._length = len(joined) - end if end else self._length + len(data)
        has_text = bool(joined[end:].strip(_LINE_ENDS))
        self._is_inside = has_text or (self._is_inside and not end)
        self._last_bytes = joined[-2:]
        if self._length > MAX_EVENT_BYTES:
            raise IncompleteResponse(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return data

    def finish(self) -> None:
        """Raise `IncompleteResponse` if the stream ended inside an event."""
        _check_end(self._is_inside)


class EventBuffer:
    r"""Buffer bytes until an event is complete.

    Attributes
    ----------
    last_id : str
        Id of the last complete event; empty before the first event.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> buffer.last_id
    '1'
    """

    def __init__(self):
        self.last_id = ""
        self._pending = bytearray()

    def discard_incomplete(self) -> None:
        """Discard the incomplete event of a run that broke off."""
        self._pending = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now complete.

        Raises
        ------
        IncompleteResponse
            If an event exceeds the maximum length.
        """
        self._pending += data
        end = _end_of_events(self._pending)
        if not end:
            if len(self._pending) > MAX_EVENT_BYTES:
                self._pending = bytearray()
                raise IncompleteResponse(f"event exceeds {MAX_EVENT_BYTES} bytes")
            return b""
        done = bytes(self._pending[:end])
        del self._pending[:end]
        for line in reversed(done.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                break
        return done

    def finish(self) -> None:
        """Raise `IncompleteResponse` if the stream ended inside an event."""
        _check_end(bool(self._pending.strip(_LINE_ENDS)))
