"""Test that an unresponsive open connection is closed and not reused."""

import socket
import threading

import pytest

from sesameport.adapters import HttpPlainService
from sesameport.domain import PlainRequest, Urgency
from sesameport.interfaces import EngineErrorKind

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class SilentServer:
    """Answer only the first request of each connection."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        data = b""
        while b"\r\n\r\n" not in data:
            data += conn.recv(4_096)
        conn.sendall(ANSWER)

    def stop(self):
        for conn in (self.listener, *self.connections):
            conn.close()


@pytest.fixture
def server():
    server = SilentServer()
    yield server
    server.stop()


def request(repeatable):
    return PlainRequest(
        "r", "desk", "", "GET", "/x", (), b"", repeatable, Urgency.URGENT, 1e9
    )


def test_silent_connection_is_closed_and_replaced(server):
    """Guard against reusing a pooled connection on which a call has timed out."""
    service = HttpPlainService(server.address)
    kinds = []
    for _ in range(3):
        result = service.call(request(True), "a", 0.3)
        kinds.append("ok" if result.is_ok() else result.unwrap_err().kind)
    assert kinds == ["ok", EngineErrorKind.SILENT, "ok"]
    assert len(server.connections) == 2


def test_non_repeatable_call_uses_a_new_connection(server):
    """Guard against a booking that is lost on a dead pooled connection (I7).

    Such a call cannot be retried, because it may have run.
    """
    service = HttpPlainService(server.address)
    assert service.call(request(True), "a", 0.3).is_ok()
    for _ in range(3):
        assert service.call(request(False), "a", 0.3).is_ok()
    assert len(server.connections) == 4
