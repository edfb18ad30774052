"""Test that a listener ends whatever its threads do."""

import socket
import threading

from cheroot.workers.threadpool import _SHUTDOWNREQUEST

from sesameport.adapters.caller_limits.listener import HttpListener


def test_listener_that_gets_threads_while_it_stops_ends():
    # A thread that was added while others were ending took the request of one of them
    # to end. The process waited for that one without end, and its timers for the new.
    is_handling, may_end = threading.Event(), threading.Event()

    def handle(http, body):
        is_handling.set()
        may_end.wait(5.0)

    listener = HttpListener("127.0.0.1:0", handle, 4, 64).start()
    pool = listener._server.requests
    host, _, port = listener.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        assert is_handling.wait(5.0)
        stopping = threading.Thread(target=listener.stop, daemon=True)
        stopping.start()
        while pool._threads:
            may_end.wait(0.001)
        adding = threading.Thread(target=listener.add_threads, daemon=True)
        adding.start()
        adding.join(0.2)
        may_end.set()
        stopping.join(5.0)
        has_ended = not stopping.is_alive() and not adding.is_alive()
        for _ in range(64):
            pool.put(_SHUTDOWNREQUEST)
    assert has_ended
