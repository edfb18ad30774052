"""Set options of TCP sockets that hosts use towards others."""

import socket

__all__ = ["KEEPALIVE_OPTIONS", "SERVER_OPTIONS"]

KEEPALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    # A peer that went silent is noticed after idle + interval * count = 3 s, the time
    # after which the users take a host for undisturbed again.
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3_000),
]
"""Options that end a connection whose peer is silent, without a call to it."""

SERVER_OPTIONS = [
    *KEEPALIVE_OPTIONS[:-1],
    # Requests go on elsewhere when a server went silent, and their targets are below a
    # second; a wrong guess costs one of them, where a store connection carries many.
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1_500),
]
"""The same for connections to backend servers; silence is noticed within 2 s."""
