"""Define the bounds on what clients can make a host hold.

They are derived from the memory and the descriptors of the machine. Callers within the
limits of the configuration do not reach them.
"""

import attrs

__all__ = [
    "SIDE_BOUNDS",
    "SIDE_LIMITS",
    "BodyRefused",
    "CallerBounds",
    "CallerLimits",
]

RESERVED_FDS = 200
"""Descriptors of the limit that are left for files."""

PROCESS_MB = 64
"""Memory of a process without requests, MB. 41 to 55 MB were measured."""

THREADS_MB = 32
"""Memory of 400 request threads, MB. 300 of them took about 25 MB."""

ACCOUNT_SHARE = 0.75
"""Share of the remaining memory that is accounted for. Buffers that grow take up to an
eighth more than their content."""

MIN_ACCOUNT_BYTES = 12_000_000
"""Smallest account, bytes: two of the largest bodies fit besides the reserved part."""

CONNECTION_SHARE = 0.4
"""Share of the descriptors for connections of callers. Each request may open one more
to a server, and the rest is for other hosts and the store."""

RESERVED_SHARE = 0.25
"""Share of the account that is reserved for requests that arrive at once."""

PEER_SHARE = 0.25
"""Share of the account above which no more messages of other hosts are read."""

ADDRESS_SHARE = 0.75
"""Share of all bodies in progress that one address may have. It is large because all
callers may share the address of a load balancer."""


class BodyRefused(Exception):
    """Raised for a body that exceeds a bound; the request is not run.

    Attributes
    ----------
    status : int
        Status of the response.
    bound : str
        Name of the bound, for the log and the counter.
    """

    def __init__(self, status: int, bound: str, detail: str):
        super().__init__(detail)
        self.status = status
        self.bound = bound


@attrs.frozen
class CallerLimits:
    """Limit the size of a caller's request and the idle time of its connection."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_s: float = 15.0


@attrs.frozen
class CallerBounds:
    """Represent the bounds of one process.

    Attributes
    ----------
    account_bytes : int
        Memory that may be held for all callers and servers together, bytes.
    reserved_bytes : int
        Part of it that bodies that arrive in several reads may not use, bytes.
    max_connections : int
        Open connections of callers.
    max_threads : int
        Threads for requests of callers.
    max_bodies, max_bodies_per_address : int
        Bodies that are being received, in total and from one address.
    max_trailer_bytes, max_trailer_line_bytes : int
        Size of a trailer section and of one line of it, bytes.
    max_chunk_line_bytes : int
        Size of a chunk-size line with its extensions, bytes.
    max_extension_bytes : int
        Size of all chunk extensions of one body, bytes.
    small_chunk_bytes : int
        Mean size of chunks below which a body is expensive to read, bytes.
    max_expensive_bodies : int
        Expensive bodies of which a part is parsed at the same time.
    socket_buffer_bytes : int
        Size of the send buffer to a caller and of the receive buffer from a server,
        bytes. The system may use twice as much. A caller 50 ms away that reads at once
        gets 2.6 MB per second with the default.
    receive_buffer_bytes : int
        Size of the receive buffer from a caller, bytes. The system may use twice as
        much. A caller 50 ms away can send 0.6 to 1.3 MB per second with the default.
    max_peer_bytes : int
        Memory of the messages of other hosts that wait to be handled, bytes.
    max_peer_message_bytes, max_snapshot_bytes : int
        Largest report of another host and largest copy of the store, bytes. At 340
        hosts, 600 engines and 1,100 workspaces they have about 92 and 500 kB.
    max_peer_queue_bytes : int
        Bytes that are queued for one host that does not read its messages.
    max_server_bytes : int or None
        Bytes of requests that all hosts together may have in flight to one server. Each
        host uses an equal share. None leaves only the account of each host.
    body_s : float
        Longest time to receive a body, seconds. A shorter deadline that the caller
        states takes precedence.
    min_body_rate : float
        Mean rate at which a body must arrive after the idle time, bytes per second.
    """

    account_bytes: int
    reserved_bytes: int
    max_connections: int
    max_threads: int
    max_bodies: int
    max_bodies_per_address: int
    max_peer_bytes: int
    max_trailer_bytes: int = 16_384
    max_trailer_line_bytes: int = 8_192
    max_chunk_line_bytes: int = 4_096
    max_extension_bytes: int = 262_144
    small_chunk_bytes: int = 64
    max_expensive_bodies: int = 1
    socket_buffer_bytes: int = 131_072
    receive_buffer_bytes: int = 32_768
    max_peer_message_bytes: int = 262_144
    max_snapshot_bytes: int = 2_097_152
    max_peer_queue_bytes: int = 1_048_576
    max_server_bytes: int | None = None
    body_s: float = 60.0
    min_body_rate: float = 256.0

    @classmethod
    def for_machine(
        cls, memory_mb: float = 128, max_fds: int = 1_638, **stated
    ) -> "CallerBounds":
        """Return the bounds for a machine; ``stated`` replaces what is derived.

        Examples
        --------
        >>> CallerBounds.for_machine(128, 1_638).account_bytes
        24000000
        >>> CallerBounds.for_machine(128, 1_638).max_connections
        575
        """
        left_mb = memory_mb - PROCESS_MB - THREADS_MB
        account = max(MIN_ACCOUNT_BYTES, int(left_mb * 1e6 * ACCOUNT_SHARE))
        account = stated.get("account_bytes", account)
        connections = max(8, int((max_fds - RESERVED_FDS) * CONNECTION_SHARE))
        connections = stated.get("max_connections", connections)
        threads = stated.get("max_threads", min(400, connections))
        bodies = stated.get("max_bodies", max(4, threads // 2))
        derived = {
            "account_bytes": account,
            "reserved_bytes": int(account * RESERVED_SHARE),
            "max_peer_bytes": int(account * PEER_SHARE),
            "max_connections": connections,
            "max_threads": threads,
            "max_bodies": bodies,
            "max_bodies_per_address": max(2, int(bodies * ADDRESS_SHARE)),
        }
        return cls(**{**derived, **stated})


SIDE_BOUNDS = CallerBounds.for_machine(
    account_bytes=1_000_000, max_connections=32, max_threads=8
)
"""Bounds of a listener for readiness, status or metrics. Each has a small account of
its own, so that it responds when that of the callers is full."""

SIDE_LIMITS = CallerLimits(body_bytes=16_384)
