"""Test the check for addresses that accept connections."""

import socket
import time

from sesameport.adapters.sockets import find_reachable


def test_find_reachable_returns_only_listening_addresses():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        with socket.create_server(("127.0.0.1", 0)) as closed_listener:
            closed_address = f"127.0.0.1:{closed_listener.getsockname()[1]}"
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        started_at = time.monotonic()
        assert find_reachable([address, closed_address], 1.0) == {address}
        assert time.monotonic() - started_at < 0.5


def test_find_reachable_returns_at_its_timeout_without_an_answer():
    with socket.socket() as full_listener:
        # A listener with a full accept queue ignores further connection attempts.
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        address = f"127.0.0.1:{full_listener.getsockname()[1]}"
        clients = [socket.socket() for _ in range(4)]
        for sock in clients:
            sock.setblocking(False)
            sock.connect_ex(full_listener.getsockname())
        started_at = time.monotonic()
        assert find_reachable([address], 0.3) == set()
        assert 0.25 < time.monotonic() - started_at < 0.8
        for sock in clients:
            sock.close()
