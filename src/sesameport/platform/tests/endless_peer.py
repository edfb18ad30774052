"""Send messages to an entry host like another host, as fast as it takes them."""

import time

import msgspec
import zmq

from sesameport.entry.messages import HostReport
from sesameport.entry.peer_topics import ANNOUNCEMENT, encode_message

__all__ = ["EndlessPeer", "report_message"]


def report_message(host, sequence, workspaces):
    """Return the topic and the bytes of a report about many workspaces."""
    charged = {f"workspace-{number:06}": 1.0 for number in range(workspaces)}
    report = HostReport(host, 1, sequence, {}, charged, 1, {}, {}, [])
    return encode_message(report)


class EndlessPeer:
    """Publish to one host that was told of this peer's address."""

    def __init__(self, host_address, name="endless"):
        self._context = zmq.Context()
        self._publisher = self._context.socket(zmq.XPUB)
        self._publisher.linger = 0
        self._publisher.sndhwm = 4
        # A full queue blocks, so that the peer sends all that the host takes.
        self._publisher.setsockopt(zmq.XPUB_NODROP, 1)
        self._publisher.bind("tcp://127.0.0.1:0")
        address = self._publisher.last_endpoint.decode().removeprefix("tcp://")
        self._announcer = self._context.socket(zmq.SUB)
        self._announcer.linger = 0
        self._announcer.connect(f"tcp://{host_address}")
        own = msgspec.msgpack.encode((name, address))
        self._announcer.subscribe(ANNOUNCEMENT + own)
        self.sent = 0

    def wait_for_host(self, topic, timeout_ms=10_000):
        """Wait until the host has subscribed to a topic."""
        while self._publisher.poll(timeout_ms):
            if self._publisher.recv() == b"\x01" + topic:
                return
        raise TimeoutError("the host did not subscribe")

    def flood(self, messages, seconds):
        """Send messages for a time, each a list of parts."""
        until = time.monotonic() + seconds
        for message in messages:
            while True:
                if time.monotonic() > until:
                    return
                try:
                    self._publisher.send_multipart(message, zmq.NOBLOCK)
                except zmq.Again:
                    time.sleep(0.001)
                    continue
                self.sent += 1
                break

    def close(self):
        """Close the connections."""
        self._announcer.close()
        self._publisher.close()
        self._context.term()
