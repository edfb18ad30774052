"""A replica that said it leaves gets requests again after a drill of the store."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from fleet import PLACES, TROUBLE, Fleet, configuration, run_case, wait_for  # noqa: E402
from replica import Replica  # noqa: E402
from store import Store  # noqa: E402

DRAIN_S = 2.0
AWAY_S = 1.0
RATE_PER_S = 12.0
WORK_S = 0.2


class Load:
    """Send `safe` requests to each machine and keep what came back."""

    def __init__(self, machines):
        self.machines = machines
        self.answers = []
        self.sent = {}
        self._ended = threading.Event()
        self._threads = []
        self._lock = threading.Lock()

    def start(self):
        """Begin to send."""
        for machine in self.machines:
            self._run(self._send_on, machine)

    def _run(self, target, *args):
        thread = threading.Thread(target=target, args=args, daemon=True)
        with self._lock:
            self._threads.append(thread)
        thread.start()

    def _send_on(self, machine):
        number = 0
        while not self._ended.wait(1.0 / RATE_PER_S):
            number += 1
            self._run(self._send, machine, f"q-{machine.number}-{number}")

    def _send(self, machine, request_id):
        sent_at = time.time()
        self.sent[request_id] = (machine.name, sent_at)
        status, headers, _ = machine.send("/look/stock", request_id)
        with self._lock:
            self.answers.append((request_id, status, time.time()))

    def stop(self):
        """Wait for the last answers."""
        self._ended.set()
        for thread in self._threads:
            thread.join(6.0)


def play(temporary, record):
    """Start the fleet, play the case and return its verdict."""
    store = Store(record)
    replicas = [
        Replica(store, f"i-desk-{n}", "desk", zone, work_s=WORK_S, note=record)
        for n, zone in enumerate(PLACES, 1)
    ]
    store.put("config", "main", configuration(1), "operator")
    fleet = Fleet(temporary, store.address, record)
    try:
        for zone in PLACES:
            fleet.add(zone)
        if not fleet.wait_ready():
            record.say("the machines are not ready")
            return 2
        return _play(fleet, store, replicas, record)
    finally:
        fleet.end()


def _play(fleet, store, replicas, record):
    load = Load(fleet.machines)
    load.start()
    time.sleep(5.0)
    leaving = replicas[1]
    copy = store.copy()
    record.say("copy of the store taken, revision", copy[2])
    time.sleep(0.3)
    # The usual case: it leaves while it runs requests.
    wait_for(lambda: any(time.time() - at < 0.05 for at, _ in leaving.ran[-3:]), 3.0)
    leaving.withdraw()
    record.say("the entry of", leaving.name, "is removed; it says Server-Leaving")
    time.sleep(2.5)
    if TROUBLE:
        store.go_away()
        record.say("the store goes away")
        time.sleep(AWAY_S)
        store.come_back(copy)
        record.say("the store is back from the copy, era", store.era)
    else:
        time.sleep(AWAY_S)
    time.sleep(5.0)
    load.stop()
    return judge(load, leaving, record)


def judge(load, leaving, record):
    """Apply the rule of letter 6 to each machine."""
    answered = {request: (status, at) for request, status, at in load.answers}
    served = sum(status == 200 for status, _ in answered.values())
    record.say("requests", len(load.sent), "served", served)
    if served < len(load.sent) // 2:
        record.say("less than half of the requests are served")
        return 2
    passed_on = {}
    for request in leaving.said_leaving:
        status, at = answered.get(request, (0, 0.0))
        if status == 200:
            name = load.sent[request][0]
            passed_on[name] = min(at, passed_on.get(name, at))
    for name, at in sorted(passed_on.items()):
        record.say(name, f"had passed on an answer with Server-Leaving by {at:.3f}")
    if not passed_on:
        record.say("no machine passed on an answer with Server-Leaving")
        return 2
    broken = 0
    for _, request in leaving.ran:
        name, sent_at = load.sent[request]
        if name in passed_on and sent_at > passed_on[name] + DRAIN_S:
            broken += 1
            late_s = sent_at - passed_on[name]
            record.say(
                f"{request} reached {leaving.name} from {name}, sent {late_s:.3f} s"
                " after that answer was passed on"
            )
    record.say("requests against the rule:", broken)
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(play, FOLDER)
