"""Manage the outgoing connections of a peer link, on its socket thread only."""

import collections
import ipaddress

import attrs
import zmq

from sesameport.adapters.peer_codec import MAX_MESSAGE_BYTES

__all__ = [
    "PING",
    "PONG",
    "PeerAddress",
    "PeerConnection",
    "PeerConnections",
    "PeerLinkCounters",
    "TrafficCounter",
    "is_loopback",
    "set_socket_options",
]

SEND_QUEUE_MESSAGES = 64
"""Length of the send queue to one host. Messages beyond it are dropped."""

RECEIVE_QUEUE_MESSAGES = 2_000
"""Length of a socket's receive queue."""

PING_AFTER_S = 4.0
"""Time after a send without any message from the host until the connection is pinged.
Pushes usually get no answer, so missing traffic alone does not justify a reconnect."""

PONG_TIMEOUT_S = 2.0
"""Time without an answer to a ping until the connection is considered dead."""

IDLE_TIMEOUT_S = 120.0
"""Time until an unused connection is closed. Closing idle connections limits the
number of open file descriptors in a large fleet."""

PING = b"\x00ping"
PONG = b"\x00pong"


@attrs.frozen
class PeerLinkCounters:
    """Hold the traffic counts since the start; ``dropped`` maps reasons to counts."""

    messages_sent: int
    messages_received: int
    bytes_sent: int
    bytes_received: int
    reconnects: int
    dropped: dict[str, int]


@attrs.frozen
class PeerAddress:
    """Hold a host's ``IP:port`` and its CURVE public key in Z85."""

    address: str
    key: str


@attrs.define
class PeerConnection:
    """Hold the DEALER socket to one host and the times that liveness checks need.

    Attributes
    ----------
    unanswered_since : float or None
        Monotonic time of the first send since the last message from the host, seconds;
        None if there was none.
    pinged_at : float or None
        Monotonic time of the pending ping, seconds; None if no ping is pending.
    """

    socket: zmq.Socket
    address: PeerAddress
    last_used_at: float
    unanswered_since: float | None = None
    pinged_at: float | None = None

    def record_answer(self) -> None:
        """Record that the host answered on this connection."""
        self.unanswered_since = None
        self.pinged_at = None


class TrafficCounter:
    """Send frames and count the traffic.

    Any thread may call ``record_drop``. Only the socket thread may call the others,
    except ``counters``.
    """

    def __init__(self):
        self.reconnects = 0
        self._messages_sent = 0
        self._messages_received = 0
        self._bytes_sent = 0
        self._bytes_received = 0
        self._dropped: collections.Counter = collections.Counter()

    def send(self, sock: zmq.Socket, frames: list[bytes]) -> bool:
        """Return whether the frames were sent; if not, count the message as dropped.

        The call does not block.
        """
        try:
            sock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            is_full = exc.errno == zmq.EAGAIN
            self.record_drop("peer-queue-full" if is_full else "unreachable")
            return False
        self._messages_sent += 1
        self._bytes_sent += len(frames[-1])
        return True

    def record_received(self, data: bytes) -> None:
        """Count a received message."""
        self._messages_received += 1
        self._bytes_received += len(data)

    def record_drop(self, reason: str) -> None:
        """Count a dropped message."""
        self._dropped[reason] += 1

    def counters(self) -> PeerLinkCounters:
        """Return a copy of all counters."""
        return PeerLinkCounters(
            self._messages_sent,
            self._messages_received,
            self._bytes_sent,
            self._bytes_received,
            self.reconnects,
            dict(self._dropped),
        )


class PeerConnections:
    """Keep one DEALER socket for each host that messages were recently sent to."""

    def __init__(
        self,
        context: zmq.Context,
        poller: zmq.Poller,
        traffic: TrafficCounter,
        public_key: bytes,
        secret_key: bytes,
    ):
        self._context = context
        self._poller = poller
        self._traffic = traffic
        self._public_key = public_key
        self._secret_key = secret_key
        self._by_host: dict[str, PeerConnection] = {}

    def all(self) -> list[tuple[str, PeerConnection]]:
        """Return all pairs of host name and connection."""
        return list(self._by_host.items())

    def get(self, host: str) -> PeerConnection | None:
        """Return the open connection to a host, or None."""
        return self._by_host.get(host)

    def get_or_open(
        self, host: str, address: PeerAddress, now: float
    ) -> PeerConnection | None:
        """Return a connection for sending to a host, opening it if necessary.

        Return None if the address has no key, or is not a loopback address on a link
        without keys.
        """
        conn = self._by_host.get(host)
        if conn is not None and conn.address != address:
            self._close(host)
            conn = None
        if conn is None:
            conn = self._open(address, now)
            if conn is None:
                return None
            self._by_host[host] = conn
        conn.last_used_at = now
        if conn.unanswered_since is None:
            conn.unanswered_since = now
        return conn

    def close_unresponsive(self, now: float) -> None:
        """Close idle and unresponsive connections and ping unanswered ones.

        The next send to a host whose connection was closed opens a new one.
        """
        for host, conn in self.all():
            if now - conn.last_used_at > IDLE_TIMEOUT_S:
                self._close(host)
                continue
            if conn.pinged_at is not None:
                if now - conn.pinged_at > PONG_TIMEOUT_S:
                    self._close(host)
                    self._traffic.reconnects += 1
                continue
            since = conn.unanswered_since
            if since is not None and now - since > PING_AFTER_S:
                conn.pinged_at = now
                self._traffic.send(conn.socket, [PING])

    def close_all(self, linger_ms: int) -> None:
        """Close every connection, sending queued messages for at most ``linger_ms``."""
        for host in list(self._by_host):
            self._close(host, linger_ms)

    def _open(self, address: PeerAddress, now: float) -> PeerConnection | None:
        if self._public_key and not address.key:
            self._traffic.record_drop("no-key")
            return None
        if not self._public_key and not is_loopback(address.address):
            self._traffic.record_drop("not-loopback")
            return None
        sock = self._context.socket(zmq.DEALER)
        sock.reconnect_ivl = 100
        sock.reconnect_ivl_max = 5_000
        sock.connect_timeout = 3_000
        set_socket_options(sock, self._public_key, self._secret_key)
        if self._public_key:
            sock.curve_serverkey = address.key.encode()
        sock.connect(f"tcp://{address.address}")
        self._poller.register(sock, zmq.POLLIN)
        return PeerConnection(sock, address, now)

    def _close(self, host: str, linger_ms: int = 0) -> None:
        conn = self._by_host.pop(host)
        self._poller.unregister(conn.socket)
        conn.socket.close(linger_ms)


def set_socket_options(sock: zmq.Socket, public_key: bytes, secret_key: bytes) -> None:
    """Set the queue limits and CURVE keys that all sockets of the link share."""
    sock.linger = 0
    sock.sndhwm = SEND_QUEUE_MESSAGES
    sock.rcvhwm = RECEIVE_QUEUE_MESSAGES
    sock.maxmsgsize = MAX_MESSAGE_BYTES
    if public_key:
        sock.curve_publickey = public_key
        sock.curve_secretkey = secret_key


def is_loopback(address: str) -> bool:
    """Return whether ``IP:port`` is a loopback address."""
    try:
        return ipaddress.ip_address(address.rpartition(":")[0].strip("[]")).is_loopback
    except ValueError:
        return False
