"""Bound the bytes of requests that this host has in flight to one server.

A server that holds more than its memory crashes. Each host uses at most its share of a
bound that holds for all hosts together, by the number of hosts that it knows.
"""

import threading
from collections.abc import Callable, Iterator

import attrs

from sesameport.entry.requests import OpenResponse

__all__ = ["CountedResponse", "ServerBytes"]


class ServerBytes:
    """Count the bytes in flight to each server; thread-safe.

    Parameters
    ----------
    limit : int or None
        Bytes that all hosts together may have in flight to one server, None without a
        bound.
    host_count : callable
        Returns the number of hosts, this one included.
    """

    def __init__(self, limit: int | None, host_count: Callable[[], int]):
        self._limit = limit
        self._host_count = host_count
        self._lock = threading.Lock()
        self._by_server: dict[str, int] = {}

    @property
    def is_bounded(self) -> bool:
        """Return whether there is a bound."""
        return self._limit is not None

    def take(self, server: str, size: int) -> bool:
        """Count a request that is sent; return False if it exceeds the share."""
        if self._limit is None:
            return True
        share = self._limit // max(1, self._host_count())
        with self._lock:
            used = self._by_server.get(server, 0) + size
            if used > share:
                return False
            self._by_server[server] = used
        return True

    def release(self, server: str, size: int) -> None:
        """Release a request that has ended."""
        if self._limit is None:
            return
        with self._lock:
            left = self._by_server.get(server, 0) - size
            if left > 0:
                self._by_server[server] = left
            else:
                self._by_server.pop(server, None)


@attrs.define
class CountedResponse:
    """Release the bytes of a request when its response ends; see ``OpenResponse``."""

    _inner: OpenResponse
    _bytes: ServerBytes
    _server: str
    _size: int

    @property
    def status(self) -> int:
        """Return the status code."""
        return self._inner.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that are forwarded."""
        return self._inner.headers

    @property
    def is_signed(self) -> bool:
        """Return whether the response has the signature of a server."""
        return self._inner.is_signed

    @property
    def is_delimited(self) -> bool:
        """Return whether the response has a length or chunks."""
        return self._inner.is_delimited

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives."""
        try:
            yield from self._inner.chunks()
        finally:
            self._release()

    def extend_deadline(self, deadline: float) -> None:
        """Allow the rest of the body until a later monotonic time, seconds."""
        self._inner.extend_deadline(deadline)

    def close(self) -> None:
        """Close the connection."""
        try:
            self._inner.close()
        finally:
            self._release()

    def _release(self) -> None:
        size, self._size = self._size, 0
        if size:
            self._bytes.release(self._server, size)
