"""Buffer a stream of events so that only complete events are forwarded.

A resumable stream must not break off inside an event, because the next run starts after
the last event that the caller received.
"""

__all__ = ["EventBuffer"]

_END = b"\n\n"
_MAX_PENDING_BYTES = 1_048_576


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
        self._pending = b""

    def discard_incomplete(self) -> None:
        """Discard the incomplete event of a run that broke off."""
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are now complete."""
        self._pending += data
        end = self._pending.replace(b"\r\n", b"\n").rfind(_END)
        if b"\r" in self._pending:
            end = self._pending.rfind(b"\r\n\r\n")
            length = end + 4
        else:
            length = end + len(_END)
        if end < 0:
            if len(self._pending) > _MAX_PENDING_BYTES:
                raise ValueError("event exceeds the size limit without an end")
            return b""
        done, self._pending = self._pending[:length], self._pending[length:]
        for line in reversed(done.splitlines()):
            if line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin-1")
                break
        return done
