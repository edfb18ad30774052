"""A few spoiled answers of prefills take the prefill engines out of use for good."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from fleet import PLACES, TROUBLE, Fleet, configuration, run_case  # noqa: E402
from replica import Replica  # noqa: E402
from store import Store  # noqa: E402

PROMPT, OUTPUT = 2_600, 50
RATE_PER_S = 18.0
PREFILL_TOKENS_PER_S = 33_333
EVENTS, PAUSE_S = 48, 0.05
TIMEOUT_S = 14.0
SPOILED_EACH = 20
"""One answer in so many is spoiled, 5 in 100."""

CALM_S, SPOIL_S, PAUSE_BETWEEN_S, SPOILS = 4.0, 6.5, 0.5, 3
LATER_S = 66.0 if TROUBLE else 20.0
NESTED = b"[" * 2_000
"""A body that is no answer."""


class Engine(Replica):
    """Prefill at the speed of the sheet, and stream for 2.4 s."""

    is_faulty = False
    prefills = spoiled = 0

    def _run(self, handler, headers):
        request_id = headers["x-request-id"]
        base = [("X-Request-Id", request_id), ("X-Response-Seal", f"s.{self.name}")]
        if headers.get("x-stage") == "prefill":
            time.sleep(PROMPT / PREFILL_TOKENS_PER_S)
            self._answer_prefill(handler, request_id, base)
            return
        if "x-kv-source" not in headers:
            # A decode engine reads a prompt itself at half the speed.
            time.sleep(2 * PROMPT / PREFILL_TOKENS_PER_S)
        self.ran.append((time.time(), request_id))
        stream = [("Content-Type", "text/event-stream"), ("X-Weight-Versions", "1")]
        handler.head(200, [*base, *stream, ("Transfer-Encoding", "chunked")])
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
            time.sleep(PAUSE_S)
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()

    def _answer_prefill(self, handler, request_id, base):
        with self._lock:
            self.prefills += 1
            is_spoiled = self.is_faulty and self.prefills % SPOILED_EACH == 0
            self.spoiled += is_spoiled
        if is_spoiled:
            self._note("prefill", self.name, request_id, "answer spoiled")
            handler.reply(200, NESTED, base[:1])
            return
        handle = {"kvHandle": f"{self.prefills:012x}", "tokens": PROMPT, "version": 1}
        handler.reply(200, handle, base[:1])


class Callers:
    """Send generations at a fixed pace to the machines in turn."""

    def __init__(self, machines):
        self._machines = machines
        self._threads = []
        self.outcomes = []

    def run(self, seconds):
        """Send for some seconds."""
        began = time.monotonic()
        number = len(self._threads)
        while time.monotonic() - began < seconds:
            thread = threading.Thread(target=self._send, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)
            number += 1
            time.sleep(1.0 / RATE_PER_S)

    def _send(self, number):
        began = time.monotonic()
        status, _, _ = self._machines[number % len(self._machines)].send(
            "/grade/hide",
            f"g-{number}",
            TIMEOUT_S,
            "POST",
            b"prompt",
            X_Model="m",
            X_Token_Count=f"{PROMPT},{OUTPUT}",
            X_Prompt_Prefix=f"aa01:200,{number + 4096:x}:{PROMPT - 200}",
        )
        self.outcomes.append((began, status))

    def wait(self):
        """Wait for the last answers."""
        for thread in self._threads:
            thread.join(TIMEOUT_S)

    def count(self, since=0.0):
        """Return the requests sent since a monotonic time, and those that failed."""
        statuses = [status for began, status in self.outcomes if began >= since]
        return len(statuses), sum(status != 200 for status in statuses)


def play(temporary, record):
    """Start the fleet, play the case and return its verdict."""
    store = Store(record)
    stages = ("prefill", "prefill", "decode", "decode", "decode", "decode")
    zones = (*PLACES, *PLACES)
    engines = [
        Engine(store, f"i-{number}", "llm", zone, stage, note=record)
        for number, (stage, zone) in enumerate(zip(stages, zones, strict=True), 1)
    ]
    Replica(store, "i-desk", "desk", zones[0], note=record)
    store.put("config", "main", configuration(1), "operator")
    fleet = Fleet(temporary, store.address, record)
    try:
        for zone in PLACES:
            fleet.add(zone)
        if not fleet.wait_ready():
            record.say("the machines are not ready")
            return 2
        time.sleep(3.0)
        return _play(fleet, engines, record)
    finally:
        fleet.end()


def _play(fleet, engines, record):
    callers = Callers(fleet.machines)
    callers.run(CALM_S)
    for _ in range(SPOILS):
        for engine in engines[:2]:
            engine.is_faulty = TROUBLE
        callers.run(SPOIL_S)
        for engine in engines[:2]:
            engine.is_faulty = False
        callers.run(PAUSE_BETWEEN_S)
    sound_since = time.monotonic()
    record.say("spoiled answers:", *(engine.spoiled for engine in engines))
    prefills = sum(engine.prefills for engine in engines)
    callers.run(LATER_S)
    callers.wait()
    later = sum(engine.prefills for engine in engines) - prefills
    record.say("prefills by prefill engines since all are sound again:", later)
    sent, failed = callers.count(sound_since)
    record.say(f"since then {sent} requests, {failed} refused or failed")
    sent, failed = callers.count()
    share = failed / sent
    record.say(f"requests {sent}, refused or failed {failed} ({share:.0%})")
    return 1 if share > 0.6 else 0


if __name__ == "__main__":
    run_case(play, FOLDER)
