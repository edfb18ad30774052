"""Exchange messages between hosts over ZeroMQ with CURVE keys.

One thread owns every socket: a ROUTER that other hosts connect to, a DEALER to each
host that was sent something lately, and the ZAP socket that checks client keys.
"""

import queue
import socket
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import logbook
import zmq
import zmq.auth

from sesameport.adapters.peer_codec import CodecError, PeerCodec
from sesameport.adapters.peer_connections import (
    PING,
    PONG,
    PeerAddress,
    PeerConnection,
    PeerConnections,
    PeerLinkCounters,
    Traffic,
    is_loopback,
    set_options,
)
from sesameport.interfaces import Sender
from sesameport.world import Host

__all__ = ["ZmqPeerLink"]

log = logbook.Logger("peer-link")

QUEUED_MESSAGES = 2_000
"""Messages of all hosts that wait for the socket thread."""

CLOSE_LINGER_MS = 200
"""Time to send the last messages, such as the announcement of leaving."""

POLL_MS = 250


class _Keys:
    """Answer the authenticator's question whether a client key is allowed."""

    def __init__(self, allowed: Callable[[str], bool]):
        self._allowed = allowed

    def callback(self, _domain: str, key: bytes) -> bool:
        """Tell whether a Z85 client key is allowed."""
        return self._allowed(key.decode())


class ZmqPeerLink:
    """Implement `PeerLink`.

    Parameters
    ----------
    own : Sender
        Identity of this process.
    listen : str
        ``IP:port`` to listen on; port 0 chooses a free one.
    public_key, secret_key : str
        CURVE keys, Z85. Without them only loopback addresses are used.
    seeds : iterable of str
        ``IP:port`` or ``IP:port KEY`` with the CURVE public key in Z85. A message can
        be sent to a seed under its ``IP:port`` before its host name is known.

    Notes
    -----
    Callbacks of subscribers run on the socket thread and must return at once.
    """

    def __init__(
        self,
        own: Sender,
        listen: str,
        public_key: str = "",
        secret_key: str = "",
        seeds: Iterable[str] = (),
    ):
        if not public_key and not is_loopback(listen):
            raise ValueError(f"without CURVE keys {listen} must be a loopback address")
        self._own = own
        self._listen = listen
        self._public_key = public_key.encode()
        self._secret_key = secret_key.encode()
        self._codec = PeerCodec(own)
        self._seeds = {}
        for text in seeds:
            address, _, key = text.partition(" ")
            self._seeds[address] = PeerAddress(address, key.strip())
        self._directory: dict[str, PeerAddress] = {}
        self._seed_hosts: dict[str, PeerAddress] = {}
        self._allowed_keys = {seed.key for seed in self._seeds.values() if seed.key}
        self._subscribers: dict[type, list[Callable[[Sender, Any], None]]] = {}
        self._outgoing: queue.Queue = queue.Queue(QUEUED_MESSAGES)
        self._traffic = Traffic()
        self._routes: dict[str, bytes] = {}
        self._closing = threading.Event()
        self._context = zmq.Context()
        self._poller = zmq.Poller()
        self._connections = PeerConnections(
            self._context,
            self._poller,
            self._traffic,
            self._public_key,
            self._secret_key,
        )
        self._wake_in, self._wake_out = socket.socketpair()
        for end in (self._wake_in, self._wake_out):
            end.setblocking(False)
        self._bound: queue.Queue = queue.Queue(1)
        self._thread = threading.Thread(target=self._run, name="peer-link", daemon=True)

    # -- any thread -----------------------------------------------------------

    def start(self) -> str:
        """Start the socket thread and return the bound ``IP:port``.

        Raises
        ------
        zmq.ZMQError
            If the address cannot be bound.
        """
        self._thread.start()
        bound = self._bound.get()
        if isinstance(bound, Exception):
            raise bound
        return bound

    def close(self) -> None:
        """Stop the thread and close every socket."""
        self._closing.set()
        self._wake()
        self._thread.join()

    def seed_names(self) -> list[str]:
        """Return the names under which messages can be sent to seeds."""
        return list(self._seeds)

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Set addresses and keys of all hosts, from the platform's list."""
        directory = {
            host.name: PeerAddress(host.peer_address, host.peer_public_key)
            for host in hosts
            if host.peer_address and host.name != self._own.host
        }
        keys = {item.key for item in directory.values() if item.key}
        keys.update(seed.key for seed in self._seeds.values() if seed.key)
        self._directory = directory
        self._allowed_keys = keys

    def subscribe(
        self, message_type: type, callback: Callable[[Sender, Any], None]
    ) -> None:
        """Call back for each received message of one attrs class."""
        self._codec.register(message_type)
        self._subscribers.setdefault(message_type, []).append(callback)

    def send(self, host: str, message: Any) -> None:
        """Queue a message; drop and count it when the queue is full."""
        try:
            self._outgoing.put_nowait((host, message))
        except queue.Full:
            self._traffic.drop("queue-full")
            return
        self._wake()

    def counters(self) -> PeerLinkCounters:
        """Return the counters; each is exact, together they may be a moment apart."""
        return self._traffic.counters()

    def _wake(self) -> None:
        try:
            self._wake_out.send(b"\x00")
        except BlockingIOError:
            # The pipe is full of wake-ups already.
            return

    # -- socket thread --------------------------------------------------------

    def _run(self) -> None:
        try:
            router, authenticator = self._open()
        except zmq.ZMQError as exc:
            self._bound.put(exc)
            return
        self._bound.put(router.last_endpoint.decode().removeprefix("tcp://"))
        self._poller.register(self._wake_in.fileno(), zmq.POLLIN)
        checked_at = time.monotonic()
        while not self._closing.is_set():
            ready = dict(self._poller.poll(POLL_MS))
            now = time.monotonic()
            if self._wake_in.fileno() in ready:
                self._wake_in.recv(4_096)
            if authenticator and authenticator.zap_socket in ready:
                _run_now(
                    authenticator.handle_zap_message(
                        authenticator.zap_socket.recv_multipart()
                    )
                )
            if router in ready:
                self._read_router(router)
            for name, conn in list(self._connections.all()):
                if conn.socket in ready:
                    self._read_dealer(name, conn)
            self._send_queued(router, now)
            if now - checked_at >= POLL_MS / 1000:
                checked_at = now
                self._connections.check(now)
        self._close_all(router, authenticator)

    def _open(self):
        authenticator = None
        if self._public_key:
            authenticator = zmq.auth.Authenticator(self._context)
            authenticator.start()
            keys = _Keys(lambda key: key in self._allowed_keys)
            authenticator.configure_curve_callback("*", keys)
            self._poller.register(authenticator.zap_socket, zmq.POLLIN)
        router = self._context.socket(zmq.ROUTER)
        router.router_mandatory = True
        router.tcp_keepalive = 1
        router.tcp_keepalive_idle = 30
        set_options(router, self._public_key, self._secret_key)
        if self._public_key:
            router.curve_server = True
        router.bind(f"tcp://{self._listen}")
        self._poller.register(router, zmq.POLLIN)
        return router, authenticator

    def _read_router(self, router: zmq.Socket) -> None:
        for _ in range(QUEUED_MESSAGES):
            try:
                frames = router.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            if len(frames) != 2:
                self._traffic.drop("bad-message")
                continue
            route, data = frames[0].bytes, frames[1].bytes
            if data == PING:
                self._traffic.write(router, [route, PONG])
                continue
            key = frames[1].get("User-Id") if self._public_key else ""
            sender = self._receive(data, lambda name, k=key: self._is_key_of(name, k))
            if sender is not None:
                self._routes[sender.host] = route

    def _read_dealer(self, name: str, conn: PeerConnection) -> None:
        for _ in range(QUEUED_MESSAGES):
            try:
                data = conn.socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            conn.note_answer()
            if data != PONG:
                # CURVE has proved that the host behind this connection is the one.
                seed = self._seeds.get(name)
                sender = self._receive(
                    data, lambda host, n=name, s=seed: s is not None or host == n
                )
                if sender is not None and seed is not None:
                    self._seed_hosts[sender.host] = seed

    def _is_key_of(self, name: str, key: str) -> bool:
        if not self._public_key:
            return True
        known = self._directory.get(name)
        if known is not None and known.key:
            return known.key == key
        return key in {seed.key for seed in self._seeds.values()}

    def _receive(self, data: bytes, is_genuine: Callable[[str], bool]) -> Sender | None:
        self._traffic.note_received(data)
        try:
            sender, message = self._codec.decode(data)
        except CodecError as exc:
            self._traffic.drop("bad-message")
            log.debug("dropped a message: {}", exc)
            return None
        if not is_genuine(sender.host):
            self._traffic.drop("wrong-key")
            return None
        conn = self._connections.get(sender.host)
        if conn is not None and conn.pinged_at is None:
            conn.note_answer()
        for callback in self._subscribers.get(type(message), ()):
            try:
                callback(sender, message)
            except Exception:
                log.exception("a subscriber of {} failed", type(message).__name__)
        return sender

    def _send_queued(self, router: zmq.Socket, now: float) -> None:
        for _ in range(QUEUED_MESSAGES):
            try:
                host, message = self._outgoing.get_nowait()
            except queue.Empty:
                return
            address = (
                self._directory.get(host)
                or self._seeds.get(host)
                or self._seed_hosts.get(host)
            )
            if address is None:
                self._send_by_route(router, host, message)
                continue
            conn = self._connections.use(host, address, now)
            if conn is None:
                continue
            self._traffic.write(conn.socket, [self._codec.encode(message)])

    def _send_by_route(self, router: zmq.Socket, host: str, message: Any) -> None:
        # A host that the list does not name yet is answered on its own connection.
        route = self._routes.get(host)
        if route is None:
            self._traffic.drop("unknown-host")
            return
        if not self._traffic.write(router, [route, self._codec.encode(message)]):
            self._routes.pop(host, None)

    def _close_all(self, router: zmq.Socket, authenticator) -> None:
        self._send_queued(router, time.monotonic())
        self._connections.close_all(CLOSE_LINGER_MS)
        router.close(0)
        if authenticator:
            authenticator.stop()
        self._context.term()
        self._wake_in.close()
        self._wake_out.close()


def _run_now(coroutine) -> None:
    # The authenticator's handler never waits when the key callback is a function.
    try:
        coroutine.send(None)
    except StopIteration:
        return
    coroutine.close()
