"""Test that no call uses a connection that became silent after another call."""

import socket
import threading

import pytest

from sesameport.adapters import HttpPlainService
from sesameport.domain import PlainRequest, Urgency

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


@pytest.mark.parametrize("is_repeatable", [True, False])
def test_no_call_is_lost_on_a_silent_connection(server, is_repeatable):
    """Guard against a booking that is lost on a dead connection in use again (I7).

    A call that is not repeatable cannot be retried, because it may have run.
    """
    service = HttpPlainService(server.address)
    assert service.call(request(True), "a", 0.3).is_ok()
    for _ in range(3):
        assert service.call(request(is_repeatable), "a", 0.3).is_ok()
    assert len(server.connections) == 4
