"""Exchange messages between hosts over ZeroMQ with CURVE keys.

One thread owns every socket: a ROUTER that other hosts connect to, a DEALER for each
host that messages were recently sent to, and the ZAP socket that checks client keys.
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
    TrafficCounter,
    is_loopback,
    set_socket_options,
)
from sesameport.domain import Host
from sesameport.interfaces import Sender

__all__ = ["ZmqPeerLink"]

log = logbook.Logger("peer-link")

OUTGOING_QUEUE_MESSAGES = 2_000
"""Length of the queue between callers of ``send`` and the socket thread, for all hosts
together. The socket thread also handles at most this many messages per socket in one
pass, so a busy socket cannot starve the others."""

CLOSE_LINGER_MS = 200
"""Time to send the last messages at shutdown, such as the announcement of leaving."""

POLL_PERIOD_MS = 250
"""Longest wait of the socket thread, and the period of the connection checks."""


class _KeyAuthorizer:
    """Authorize client keys for the ZAP authenticator."""

    def __init__(self, allowed: Callable[[str], bool]):
        self._allowed = allowed

    def callback(self, _domain: str, key: bytes) -> bool:
        """Return whether a Z85 client key is allowed."""
        return self._allowed(key.decode())


class ZmqPeerLink:
    """Implement `PeerLink` over ZeroMQ.

    Parameters
    ----------
    local : Sender
        Identity of this process.
    listen : str
        ``IP:port`` to listen on; port 0 chooses a free port.
    public_key, secret_key : str
        CURVE keys in Z85. Without them, only loopback addresses are allowed.
    seeds : iterable of str
        ``IP:port`` or ``IP:port KEY``, where KEY is the CURVE public key in Z85. Until
        the host name of a seed is known, messages are sent to its ``IP:port``.

    Notes
    -----
    Callbacks of subscribers run on the socket thread and must not block.
    """

    def __init__(
        self,
        local: Sender,
        listen: str,
        public_key: str = "",
        secret_key: str = "",
        seeds: Iterable[str] = (),
    ):
        if not public_key and not is_loopback(listen):
            raise ValueError(f"without CURVE keys {listen} must be a loopback address")
        self._local = local
        self._listen = listen
        self._public_key = public_key.encode()
        self._secret_key = secret_key.encode()
        self._codec = PeerCodec(local)
        self._seeds = {}
        for text in seeds:
            address, _, key = text.partition(" ")
            self._seeds[address] = PeerAddress(address, key.strip())
        self._listed_addresses: dict[str, PeerAddress] = {}
        self._seeds_by_host: dict[str, PeerAddress] = {}
        self._allowed_keys = {seed.key for seed in self._seeds.values() if seed.key}
        self._subscribers: dict[type, list[Callable[[Sender, Any], None]]] = {}
        self._outgoing: queue.Queue = queue.Queue(OUTGOING_QUEUE_MESSAGES)
        self._traffic = TrafficCounter()
        self._routing_ids: dict[str, bytes] = {}
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
        self._bound_address: queue.Queue = queue.Queue(1)
        self._thread = threading.Thread(target=self._run, name="peer-link", daemon=True)

    # -- any thread -----------------------------------------------------------

    def start(self) -> str:
        """Start the socket thread and return the ``IP:port`` that it listens on.

        Raises
        ------
        zmq.ZMQError
            If the address cannot be bound.
        """
        self._thread.start()
        bound_address = self._bound_address.get()
        if isinstance(bound_address, Exception):
            raise bound_address
        return bound_address

    def close(self) -> None:
        """Stop the socket thread and close every socket."""
        self._closing.set()
        self._wake()
        self._thread.join()

    def seed_addresses(self) -> list[str]:
        """Return the ``IP:port`` addresses of the seeds, which ``send`` accepts."""
        return list(self._seeds)

    def set_hosts(self, hosts: Iterable[Host]) -> None:
        """Set the addresses and keys of all hosts, as the platform lists them."""
        listed_addresses = {
            host.name: PeerAddress(host.peer_address, host.peer_public_key)
            for host in hosts
            if host.peer_address and host.name != self._local.host
        }
        keys = {address.key for address in listed_addresses.values() if address.key}
        keys.update(seed.key for seed in self._seeds.values() if seed.key)
        self._listed_addresses = listed_addresses
        self._allowed_keys = keys

    def subscribe(
        self, message_type: type, callback: Callable[[Sender, Any], None]
    ) -> None:
        """Call ``callback`` with each received message of an attrs class."""
        self._codec.register(message_type)
        self._subscribers.setdefault(message_type, []).append(callback)

    def send(self, host: str, message: Any) -> None:
        """Queue a message, or count it as dropped if the queue is full."""
        try:
            self._outgoing.put_nowait((host, message))
        except queue.Full:
            self._traffic.record_drop("queue-full")
            return
        self._wake()

    def counters(self) -> PeerLinkCounters:
        """Return the counters, which are not read atomically as a group."""
        return self._traffic.counters()

    def _wake(self) -> None:
        try:
            self._wake_out.send(b"\x00")
        except BlockingIOError:
            # The socket buffer already holds wake-up bytes, so the thread will wake up.
            return

    # -- socket thread --------------------------------------------------------

    def _run(self) -> None:
        try:
            router, authenticator = self._open()
        except zmq.ZMQError as exc:
            self._bound_address.put(exc)
            return
        self._bound_address.put(router.last_endpoint.decode().removeprefix("tcp://"))
        self._poller.register(self._wake_in.fileno(), zmq.POLLIN)
        checked_at = time.monotonic()
        while not self._closing.is_set():
            ready = dict(self._poller.poll(POLL_PERIOD_MS))
            now = time.monotonic()
            if self._wake_in.fileno() in ready:
                self._wake_in.recv(4_096)
            if authenticator and authenticator.zap_socket in ready:
                _run_to_completion(
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
            if now - checked_at >= POLL_PERIOD_MS / 1000:
                checked_at = now
                self._connections.close_unresponsive(now)
        self._close_all(router, authenticator)

    def _open(self):
        authenticator = None
        if self._public_key:
            authenticator = zmq.auth.Authenticator(self._context)
            authenticator.start()
            keys = _KeyAuthorizer(lambda key: key in self._allowed_keys)
            authenticator.configure_curve_callback("*", keys)
            self._poller.register(authenticator.zap_socket, zmq.POLLIN)
        router = self._context.socket(zmq.ROUTER)
        router.router_mandatory = True
        router.tcp_keepalive = 1
        router.tcp_keepalive_idle = 30
        set_socket_options(router, self._public_key, self._secret_key)
        if self._public_key:
            router.curve_server = True
        router.bind(f"tcp://{self._listen}")
        self._poller.register(router, zmq.POLLIN)
        return router, authenticator

    def _read_router(self, router: zmq.Socket) -> None:
        for _ in range(OUTGOING_QUEUE_MESSAGES):
            try:
                frames = router.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            if len(frames) != 2:
                self._traffic.record_drop("bad-message")
                continue
            routing_id, data = frames[0].bytes, frames[1].bytes
            if data == PING:
                self._traffic.send(router, [routing_id, PONG])
                continue
            key = frames[1].get("User-Id") if self._public_key else ""
            sender = self._receive(data, lambda name, k=key: self._is_host_key(name, k))
            if sender is not None:
                self._routing_ids[sender.host] = routing_id

    def _read_dealer(self, name: str, conn: PeerConnection) -> None:
        for _ in range(OUTGOING_QUEUE_MESSAGES):
            try:
                data = conn.socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            conn.record_answer()
            if data != PONG:
                # CURVE has already verified the key of the host at this address, so
                # only the host name in the message needs a check.
                seed = self._seeds.get(name)
                sender = self._receive(
                    data, lambda host, n=name, s=seed: s is not None or host == n
                )
                if sender is not None and seed is not None:
                    self._seeds_by_host[sender.host] = seed

    def _is_host_key(self, name: str, key: str) -> bool:
        if not self._public_key:
            return True
        address = self._listed_addresses.get(name)
        if address is not None and address.key:
            return address.key == key
        return key in {seed.key for seed in self._seeds.values()}

    def _receive(
        self, data: bytes, is_authentic: Callable[[str], bool]
    ) -> Sender | None:
        self._traffic.record_received(data)
        try:
            sender, message = self._codec.decode(data)
        except CodecError as exc:
            self._traffic.record_drop("bad-message")
            log.debug("dropped an invalid message: {}", exc)
            return None
        if not is_authentic(sender.host):
            self._traffic.record_drop("wrong-key")
            return None
        conn = self._connections.get(sender.host)
        if conn is not None and conn.pinged_at is None:
            conn.record_answer()
        for callback in self._subscribers.get(type(message), ()):
            try:
                callback(sender, message)
            except Exception:
                log.exception("subscriber of {} failed", type(message).__name__)
        return sender

    def _send_queued(self, router: zmq.Socket, now: float) -> None:
        for _ in range(OUTGOING_QUEUE_MESSAGES):
            try:
                host, message = self._outgoing.get_nowait()
            except queue.Empty:
                return
            address = (
                self._listed_addresses.get(host)
                or self._seeds.get(host)
                or self._seeds_by_host.get(host)
            )
            if address is None:
                self._send_by_routing_id(router, host, message)
                continue
            conn = self._connections.get_or_open(host, address, now)
            if conn is None:
                continue
            self._traffic.send(conn.socket, [self._codec.encode(message)])

    def _send_by_routing_id(self, router: zmq.Socket, host: str, message: Any) -> None:
        # A host that is not listed yet can only be reached on the connection that it
        # opened itself.
        routing_id = self._routing_ids.get(host)
        if routing_id is None:
            self._traffic.record_drop("unknown-host")
            return
        if not self._traffic.send(router, [routing_id, self._codec.encode(message)]):
            self._routing_ids.pop(host, None)

    def _close_all(self, router: zmq.Socket, authenticator) -> None:
        self._send_queued(router, time.monotonic())
        self._connections.close_all(CLOSE_LINGER_MS)
        router.close(0)
        if authenticator:
            authenticator.stop()
        self._context.term()
        self._wake_in.close()
        self._wake_out.close()


def _run_to_completion(coroutine) -> None:
    # The authenticator's handler does not await anything when the key callback is a
    # plain function, so one step runs the coroutine to its end.
    try:
        coroutine.send(None)
    except StopIteration:
        return
    coroutine.close()
