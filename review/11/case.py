"""Two machines order with one fencing token after a drill of the store."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from fleet import PLACES, TROUBLE, Fleet, configuration, run_case, wait_for  # noqa: E402
from replica import Replica  # noqa: E402
from store import Store  # noqa: E402

AWAY_S = 1.0
LEASES = "entry-leases"


def play(temporary, record):
    """Start the fleet, play the case and return its verdict."""
    store = Store(record)
    zones = list(PLACES)
    names = (("i-1", "prefill"), ("i-2", "decode"), ("i-3", "decode"))
    engines = {
        name: Replica(store, name, "llm", zone, stage, note=record)
        for (name, stage), zone in zip(names, zones, strict=True)
    }
    Replica(store, "i-desk", "desk", zones[0], note=record)
    store.put("config", "main", configuration(1), "operator")
    fleet = Fleet(temporary, store.address, record)
    try:
        for zone in zones:
            fleet.add(zone)
        if not fleet.wait_ready():
            record.say("the machines are not ready")
            return 2
        return _play(fleet, store, engines, record)
    finally:
        fleet.end()


def _play(fleet, store, engines, record):
    def orders():
        return sorted(
            (at, name, status, order)
            for name, engine in engines.items()
            for at, status, order in engine.orders
        )

    def accepted():
        return [item for item in orders() if item[2] == 202]

    time.sleep(6.0)
    # A release begins: the only prefill engine leaves, announced.
    record.say("release: i-1 leaves")
    engines["i-1"].drain()
    threading.Timer(3.5, engines["i-1"].end).start()
    if not wait_for(accepted, 25.0):
        record.say("no order was given")
        return 2
    _, name, _, first = accepted()[0]
    record.say(f"order to {name}: {first}")
    time.sleep(2.0)
    if TROUBLE:
        taken_at, copy = store.copies_before[LEASES]
        store.go_away()
        time.sleep(AWAY_S)
        store.come_back(copy)
        age_s = time.monotonic() - taken_at
        record.say(f"the store is back from a copy {age_s:.1f} s old")
    else:
        time.sleep(AWAY_S)
    time.sleep(4.0)
    # The release goes on: the replacement of i-1 is there, and the next one leaves.
    engines["i-4"] = Replica(store, "i-4", "llm", "rajkot-a", "prefill", note=record)
    time.sleep(1.0)
    holder = next(m for m in fleet.machines if m.name == first["holder"])
    record.say("removed for good:", holder.name)
    holder.signal(9)
    fleet.machines.remove(holder)
    fleet.add(holder.zone)
    last = next(n for n in ("i-2", "i-3") if n != name)
    record.say("release:", last, "leaves")
    engines[last].drain()
    threading.Timer(3.5, engines[last].end).start()
    wait_for(lambda: len(accepted()) > 1, 35.0)
    time.sleep(1.0)
    return judge(orders(), record)


def judge(orders, record):
    """Look for two holders with one fencing token among the orders to one replica."""
    by_token = {}
    for at, name, status, order in orders:
        holder, token = order["holder"], order["fencingToken"]
        record.say(f"{at:.3f} {name} {status} holder {holder} token {token}")
        by_token.setdefault((name, token), set()).add(holder)
    broken = {key: sorted(who) for key, who in by_token.items() if len(who) > 1}
    for (name, token), who in broken.items():
        record.say(f"orders to {name} with token {token} from {' and '.join(who)}")
    if len({order["holder"] for _, _, _, order in orders}) < 2:
        record.say("no second machine gave an order")
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(play, FOLDER)
