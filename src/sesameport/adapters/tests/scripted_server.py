"""Provide a server that answers each connection by a function."""

import contextlib
import re
import socket
import threading

__all__ = ["ScriptedServer", "read_request", "request_id_of"]


def read_request(conn):
    """Return the head of a request after its body was read as well.

    Closing a connection with unread bytes would reset it.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        received = conn.recv(65_536)
        if not received:
            raise ConnectionError("the client closed the connection")
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    text = head.decode("latin-1")
    length = re.search(r"content-length: *(\d+)", text, re.IGNORECASE)
    while length and len(body) < int(length[1]):
        body += conn.recv(65_536)
    return text


def request_id_of(head):
    """Return the id of a request, or an empty string."""
    match = re.search(r"^x-request-id: *(\S*)", head, re.IGNORECASE | re.MULTILINE)
    return match[1] if match else ""


class ScriptedServer:
    """Call a function with the socket of each connection, then close the connection."""

    def __init__(self, serve):
        self._serve = serve
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn):
        with conn, contextlib.suppress(OSError):
            self._serve(conn)

    def stop(self):
        """Stop listening."""
        self._listener.close()
