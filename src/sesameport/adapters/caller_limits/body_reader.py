"""Read the bodies of requests within the bounds of the process.

A small body that arrived together with its head, or right behind it, costs one charge
to the account. Any other body has a `Holder`, by which it can be held back or closed.
"""

import contextlib
import io
import select
import threading
import time
from collections.abc import Callable, Iterator

from sesameport.adapters.caller_limits.bounds import BodyRefused, CallerBounds
from sesameport.adapters.caller_limits.chunked_parser import ChunkedParser
from sesameport.adapters.caller_limits.memory_account import (
    STEP_BYTES,
    Holder,
    MemoryAccount,
    choose_largest,
)
from sesameport.adapters.caller_limits.open_bodies import OpenBodies
from sesameport.adapters.caller_limits.open_heads import OpenHeads
from sesameport.adapters.caller_limits.slow_readers import SlowReaders
from sesameport.adapters.strict_http import FramingError, StrictRequest

__all__ = ["REQUEST_BYTES", "BodyReader"]

REQUEST_BYTES = 24_576
"""Memory that a request holds besides its body, bytes: a part of the response in three
copies of 8 KiB, of which one waits for the caller to read it."""

READ_BYTES = 16_384
"""Most bytes that are received at once. They are part of ``HOLDER_BYTES``."""

HOLDER_BYTES = 32_768
"""Memory of a body in progress besides the body itself, bytes."""

SMALL_READ_BYTES = 512
MAX_SMALL_READS = 8
SMALL_READ_PAUSE_S = 0.005
"""After several small reads in succession, bytes are left to collect in the socket for
this time, seconds. Each read costs as much as a small request."""

PROMPT_BYTES = 8_192
PROMPT_MS = 50
"""Size of a body, bytes, and time, milliseconds, within which it counts as arrived with
its head. Many clients send both in two packets, and such a body must not be refused
because slow ones from its address are in progress."""

MAX_ATTEMPTS = 4
"""Attempts to make room for one small request if the account is full."""

_REFUSALS = {
    "body-deadline": (408, "body did not arrive in time"),
    "body-progress": (408, "body arrives too slowly"),
    "threads": (408, "body arrives too slowly for the load"),
    "connections": (503, "too many connections"),
    "memory": (503, "not enough memory for the body"),
    "stopping": (503, "host is stopping"),
    "bodies": (503, "too many bodies in progress"),
    "bodies-per-address": (503, "too many bodies in progress from this address"),
}


class BodyReader:
    """Read bodies; thread-safe.

    Parameters
    ----------
    bounds : CallerBounds
        Bounds of one body.
    account : MemoryAccount
        Memory of the process.
    open_bodies : OpenBodies
        Bodies in progress.
    stated_wait_s : callable
        Returns how long a caller waits for its response according to its headers,
        seconds.
    slow_readers : SlowReaders or None
        Responses that callers do not read, which hold memory too.
    release_unread : callable
        Called with the monotonic time and the bytes that a small request needs; lets
        unread bytes of connections give way, and returns whether any soon will.

    Attributes
    ----------
    heads : OpenHeads
        Heads that are being read, which hold memory too.
    """

    def __init__(
        self,
        bounds: CallerBounds,
        account: MemoryAccount,
        open_bodies: OpenBodies,
        stated_wait_s: Callable[[tuple], float],
        slow_readers: SlowReaders | None = None,
        release_unread: Callable[[float, int], bool] = lambda now, size: False,
    ):
        self._bounds = bounds
        self._account = account
        self._open_bodies = open_bodies
        self._stated_wait_s = stated_wait_s
        self._slow_readers = slow_readers or SlowReaders(account)
        self._release_unread = release_unread
        self.heads = OpenHeads(account, self._close_largest)
        self._expensive = threading.Semaphore(bounds.max_expensive_bodies)

    @contextlib.contextmanager
    def body_of(self, req: StrictRequest) -> Iterator[bytes]:
        """Read the body of a request and hold its memory until the block ends.

        Raises
        ------
        FramingError
            If the body is malformed or ends early.
        BodyRefused
            If a bound is exceeded.
        """
        body, charged = self._read(req)
        try:
            yield body
        finally:
            self._account.release(charged)

    def _read(self, req: StrictRequest) -> tuple[bytes, int]:
        """Return a body and the bytes that are charged for it."""
        rfile = req.conn.rfile
        if not req.chunked_read:
            length = int(req.inheaders.get(b"Content-Length", 0))
            if length > _buffered_bytes(rfile):
                if length <= PROMPT_BYTES and _has_prompt_data(req.conn):
                    rfile.peek(length)
                if length > _buffered_bytes(rfile):
                    return self._read_slowly(req, _LengthParser(length))
            size = length + REQUEST_BYTES
            if not self._account.charge(size):
                self._make_room(size)
            return (req.rfile.read(length) if length else b""), size
        parser = ChunkedParser(self._bounds, req.server.max_request_body_size)
        parser.feed(_take_buffered(rfile))
        if not parser.is_complete and _has_prompt_data(req.conn):
            parser.feed(req.conn.socket.recv(READ_BYTES))
        if not parser.is_complete:
            return self._read_slowly(req, parser)
        _put_back(rfile, parser.rest)
        size = parser.size + REQUEST_BYTES
        if not self._account.charge(size):
            self._make_room(size)
        return parser.body(), size

    def _make_room(self, size: int) -> None:
        """Charge a small request for which others give way, or refuse it.

        Bytes that wait unread in sockets give way, and stalled bodies.
        """
        for _ in range(MAX_ATTEMPTS):
            now = time.monotonic()
            is_closing = self._release_unread(now, size)
            if self._account.charge(size):
                return
            if not self._close_largest(now, 0.0) and not is_closing:
                break
            self._account.wait_for_release()
            if self._account.charge(size):
                return
        raise _refusal("memory")

    def _close_largest(self, now: float, waited_s: float) -> bool:
        """Close the body or response that must give way; return whether one does."""
        holders = [
            *self._open_bodies.holders(),
            *self._slow_readers.holders(),
            *self.heads.holders(),
        ]
        found = choose_largest(holders, now, waited_s)
        if found is None:
            return False
        self._open_bodies.close(found, "memory")
        self._slow_readers.close(found, "unread")
        self.heads.close(found, "memory")
        return True

    def _read_slowly(self, req: StrictRequest, parser) -> tuple[bytes, int]:
        conn, now = req.conn, time.monotonic()
        wait_s = min(self._bounds.body_s, self._stated_wait_s(req.header_pairs))
        holder = Holder(conn.remote_addr or "", now, now + wait_s, now)
        holder.head_bytes = conn.head.held if conn.head is not None else 0
        refused_for = self._open_bodies.add(holder, conn)
        if refused_for:
            raise _refusal(refused_for)
        try:
            self._charge(holder, HOLDER_BYTES)
            if isinstance(parser, _LengthParser):
                parser.feed(_take_buffered(conn.rfile))
            self._receive(conn, parser, holder)
            # A closed connection would look as if its caller had left.
            self._open_bodies.remove(holder)
            _raise_if_closed(holder)
        except BaseException:
            self._open_bodies.remove(holder)
            self._account.release(holder.held)
            raise
        if isinstance(parser, ChunkedParser):
            _put_back(conn.rfile, parser.rest)
        else:
            # cheroot reads what it believes to be left of the body.
            req.rfile.remaining = 0
        return parser.body(), holder.held

    def _receive(self, conn, parser, holder: Holder) -> None:
        small_reads = 0
        while not parser.is_complete:
            if parser.held_bytes() > holder.held - HOLDER_BYTES:
                self._charge(holder, STEP_BYTES)
            _raise_if_closed(holder)
            data = conn.socket.recv(min(READ_BYTES, parser.wanted_bytes()))
            _raise_if_closed(holder)
            if not data:
                raise FramingError("connection ended inside the body")
            holder.received += len(data)
            holder.last_at = time.monotonic()
            small_reads = small_reads + 1 if len(data) < SMALL_READ_BYTES else 0
            if small_reads > MAX_SMALL_READS:
                time.sleep(SMALL_READ_PAUSE_S)
            if parser.is_expensive():
                self._parse_expensive(parser, data, holder)
            else:
                parser.feed(data)

    def _parse_expensive(self, parser, data: bytes, holder: Holder) -> None:
        """Parse a part while few others do, and pause for as long as it took."""
        holder.is_held_back = True
        with self._expensive:
            holder.is_held_back = False
            holder.last_at = started = time.monotonic()
            parser.feed(data)
            time.sleep(time.monotonic() - started)

    def _charge(self, holder: Holder, size: int) -> None:
        """Charge memory for a body; hold it back while the account is full."""
        if self._account.charge_open(size):
            holder.held += size
            return
        waiting_since = time.monotonic()
        holder.is_held_back = True
        try:
            while not self._account.charge_open(size):
                _raise_if_closed(holder)
                now = time.monotonic()
                if self._close_largest(now, now - waiting_since):
                    waiting_since = now
                self._account.wait_for_release()
        finally:
            holder.is_held_back = False
            holder.last_at = time.monotonic()
        holder.held += size


class _LengthParser:
    """Collect a body whose length is known."""

    def __init__(self, length: int):
        self._left = length
        self._out = io.BytesIO()

    @property
    def is_complete(self) -> bool:
        return not self._left

    def feed(self, data: bytes) -> None:
        self._out.write(data)
        self._left -= len(data)

    def wanted_bytes(self) -> int:
        return self._left

    def held_bytes(self) -> int:
        return self._out.tell()

    def is_expensive(self) -> bool:
        return False

    def body(self) -> bytes:
        return self._out.getvalue()


def _has_prompt_data(conn) -> bool:
    """Return whether more of a request arrives at once."""
    poller = select.poll()
    poller.register(conn.socket, select.POLLIN)
    return bool(poller.poll(PROMPT_MS))


def _buffered_bytes(rfile) -> int:
    return len(rfile._read_buf) - rfile._read_pos


def _take_buffered(rfile) -> bytes:
    """Return and remove what cheroot's reader has read ahead."""
    data = bytes(rfile._read_buf[rfile._read_pos :])
    _put_back(rfile, b"")
    return data


def _put_back(rfile, data: bytes) -> None:
    """Let cheroot's reader read bytes of the next request again."""
    rfile._read_buf, rfile._read_pos = data, 0


def _raise_if_closed(holder: Holder) -> None:
    if holder.closed_for:
        raise _refusal(holder.closed_for)


def _refusal(bound: str) -> BodyRefused:
    status, detail = _REFUSALS[bound]
    return BodyRefused(status, bound, detail)
