"""Open, check and close the connections of a peer link; used by its thread only."""

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
    "Traffic",
    "is_loopback",
    "set_options",
]

PEER_QUEUED_MESSAGES = 64
"""Messages that wait for one host's connection; later ones are dropped."""

RECEIVED_MESSAGES = 2_000
"""Received messages that wait on a socket."""

UNANSWERED_S = 4.0
"""A connection is checked when nothing came from its host for this long after a send.
Sends without an answer are common (pushes), so the check is a ping, not a reconnect."""

PONG_S = 2.0
"""A ping without an answer for this long means that the connection is silent."""

IDLE_S = 120.0
"""Unused connections are closed, which bounds file descriptors in a large fleet."""

PING = b"\x00ping"
PONG = b"\x00pong"


@attrs.frozen
class PeerLinkCounters:
    """Count traffic since the start; ``dropped`` is by reason."""

    messages_sent: int
    messages_received: int
    bytes_sent: int
    bytes_received: int
    reconnects: int
    dropped: dict[str, int]


@attrs.frozen
class PeerAddress:
    """Give a host's ``IP:port`` and its CURVE public key, Z85."""

    address: str
    key: str


@attrs.define
class PeerConnection:
    """Hold the DEALER to one host and when it was last used and answered."""

    socket: zmq.Socket
    address: PeerAddress
    used_at: float
    unanswered_since: float | None = None
    pinged_at: float | None = None

    def note_answer(self) -> None:
        """Record that the connection works."""
        self.unanswered_since = None
        self.pinged_at = None


class Traffic:
    """Count traffic; ``drop`` may be called from any thread."""

    def __init__(self):
        self.reconnects = 0
        self._messages_sent = 0
        self._messages_received = 0
        self._bytes_sent = 0
        self._bytes_received = 0
        self._dropped: collections.Counter = collections.Counter()

    def write(self, sock: zmq.Socket, frames: list[bytes]) -> bool:
        """Send without waiting; count and drop the message if that fails."""
        try:
            sock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            full = exc.errno == zmq.EAGAIN
            self.drop("peer-queue-full" if full else "unreachable")
            return False
        self._messages_sent += 1
        self._bytes_sent += len(frames[-1])
        return True

    def note_received(self, data: bytes) -> None:
        """Count a received message."""
        self._messages_received += 1
        self._bytes_received += len(data)

    def drop(self, reason: str) -> None:
        """Count a dropped message."""
        self._dropped[reason] += 1

    def counters(self) -> PeerLinkCounters:
        """Return all counters."""
        return PeerLinkCounters(
            self._messages_sent,
            self._messages_received,
            self._bytes_sent,
            self._bytes_received,
            self.reconnects,
            dict(self._dropped),
        )


class PeerConnections:
    """Keep one DEALER per host that was sent something lately."""

    def __init__(
        self,
        context: zmq.Context,
        poller: zmq.Poller,
        traffic: Traffic,
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
        """Return all connections with their hosts."""
        return list(self._by_host.items())

    def get(self, host: str) -> PeerConnection | None:
        """Return the connection to a host, if there is one."""
        return self._by_host.get(host)

    def use(self, host: str, address: PeerAddress, now: float) -> PeerConnection | None:
        """Return the connection for a send, or None if the address is not allowed."""
        conn = self._by_host.get(host)
        if conn is not None and conn.address != address:
            self._close(host)
            conn = None
        if conn is None:
            conn = self._open(address, now)
            if conn is None:
                return None
            self._by_host[host] = conn
        conn.used_at = now
        if conn.unanswered_since is None:
            conn.unanswered_since = now
        return conn

    def check(self, now: float) -> None:
        """Close idle and silent connections; the next send opens a new one."""
        for host, conn in self.all():
            if now - conn.used_at > IDLE_S:
                self._close(host)
                continue
            if conn.pinged_at is not None:
                if now - conn.pinged_at > PONG_S:
                    self._close(host)
                    self._traffic.reconnects += 1
                continue
            since = conn.unanswered_since
            if since is not None and now - since > UNANSWERED_S:
                conn.pinged_at = now
                self._traffic.write(conn.socket, [PING])

    def close_all(self, linger_ms: int) -> None:
        """Close every connection after at most the given time."""
        for host in list(self._by_host):
            self._close(host, linger_ms)

    def _open(self, address: PeerAddress, now: float) -> PeerConnection | None:
        if self._public_key and not address.key:
            self._traffic.drop("no-key")
            return None
        if not self._public_key and not is_loopback(address.address):
            self._traffic.drop("not-loopback")
            return None
        sock = self._context.socket(zmq.DEALER)
        sock.reconnect_ivl = 100
        sock.reconnect_ivl_max = 5_000
        sock.connect_timeout = 3_000
        set_options(sock, self._public_key, self._secret_key)
        if self._public_key:
            sock.curve_serverkey = address.key.encode()
        sock.connect(f"tcp://{address.address}")
        self._poller.register(sock, zmq.POLLIN)
        return PeerConnection(sock, address, now)

    def _close(self, host: str, linger_ms: int = 0) -> None:
        conn = self._by_host.pop(host)
        self._poller.unregister(conn.socket)
        conn.socket.close(linger_ms)


def set_options(sock: zmq.Socket, public_key: bytes, secret_key: bytes) -> None:
    """Set the bounds and keys that every socket of the link has."""
    sock.linger = 0
    sock.sndhwm = PEER_QUEUED_MESSAGES
    sock.rcvhwm = RECEIVED_MESSAGES
    sock.maxmsgsize = MAX_MESSAGE_BYTES
    if public_key:
        sock.curve_publickey = public_key
        sock.curve_secretkey = secret_key


def is_loopback(address: str) -> bool:
    """Tell whether ``IP:port`` is a loopback address."""
    try:
        return ipaddress.ip_address(address.rpartition(":")[0].strip("[]")).is_loopback
    except ValueError:
        return False
