"""Engines of the drafting service, and clients that send streams at a rate."""

import collections
import random
import socket
import struct
import threading
import time

from review.common.platform import HOST, Replica

__all__ = ["DraftClients", "Engine", "start_engines"]

ENGINE_PROFILE = {
    "slots": 32,
    "kvCapacityTokens": 36_778,
    "kvTokenBytes": 163_840,
    "linkMbps": 1_400_000.0,
    "kvRetentionS": 0.5,
    "switchS": 6.0,
    "models": [{"name": "m"}],
}

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Engine(Replica):
    """Lose a share of the answers to the requests that it runs while told to.

    A lost answer is a reset of its connection.
    """

    def __init__(self, store, name, zone, stage, seed, **fields):
        super().__init__(store, name, "draft-llm", zone, stage, **fields)
        self.lost_share = 0.0
        self._rng = random.Random(seed)
        self.lost = 0

    def _execute(self, handler, headers, fault):
        if self._rng.random() >= self.lost_share:
            super()._execute(handler, headers, fault)
            return
        self.lost += 1
        linger = (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        handler.connection.setsockopt(*linger)
        handler.drop_connection()


def start_engines(store, seed: int) -> tuple[list[Engine], list[Engine]]:
    """Start the prefill and the decode engines of a small deployment."""
    zones = ("svealand-a", "svealand-b", "svealand-c")
    prefill = [
        Engine(store, f"i-p{n}", zones[n % 3], "prefill", seed + n) for n in range(2)
    ]
    decode = [
        Engine(store, f"i-d{n}", zones[n % 3], "decode", seed + 10 + n, pause_s=0.05)
        for n in range(4)
    ]
    return prefill, decode


class DraftClients:
    """Send streams to hosts in turn, each on a thread of its own."""

    def __init__(self, hosts, key: str, target: str, tokens: str, record):
        self._hosts = hosts
        self._key = key
        self._target = target
        self._tokens = tokens
        self._record = record
        self._threads = []
        self.sent_at = {}
        self.statuses = collections.Counter()

    def run(self, per_s: float, seconds: float) -> None:
        """Send at a rate for a time; answers may come later, see `join`."""
        began_at = time.monotonic()
        for number in range(int(per_s * seconds)):
            time.sleep(max(0.0, began_at + number / per_s - time.monotonic()))
            thread = threading.Thread(target=self._send, args=(len(self.sent_at),))
            self.sent_at[f"{len(self.sent_at):016x}"] = time.monotonic()
            thread.start()
            self._threads.append(thread)

    def join(self) -> None:
        """Wait until all requests have ended."""
        for thread in self._threads:
            thread.join(20.0)

    def _send(self, number: int) -> None:
        host = self._hosts[number % len(self._hosts)]
        request_id = f"{number:016x}"
        answer = host.send(
            "POST",
            self._target,
            b"prompt %d" % number,
            **{
                "Host": HOST,
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "14000",
                "X-Key": self._key,
                "X-Model": "m",
                "X-Token-Count": self._tokens,
                "X-Prompt-Prefix": f"{number:08x}:200,{number + 2**31:08x}:2800",
            },
        )
        self.statuses[answer.status] += 1
        self._record.write(f"{request_id} sent to {host.name}: {answer.status}")
