"""Measure the latency of calls to two data centres while a third one is slow.

Run ``python -m sesameport.adapters.tests.measure_bulkheads``.
"""

import concurrent.futures
import random
import statistics
import time

from sesameport.adapters import (
    BulkheadLimits,
    BulkheadPlainService,
    Bulkheads,
    HttpPlainService,
)
from sesameport.domain import PlainRequest, Urgency
from sesameport.standins import PlainStandin

DATA_CENTRES = ("a", "b", "c")
THREADS = 48
CALLS_PER_S = 150.0
DURATION_S = 8.0
SLOW_DELAY_S = 1.5


def run(slow: bool, bounded: bool) -> None:
    """Send calls in an open loop and print the latency of calls to a and b."""
    standins = {centre: PlainStandin(centre) for centre in DATA_CENTRES}
    limit = THREADS // 4 if bounded else 10_000
    bulkheads = Bulkheads(BulkheadLimits(limit, limit))
    services = {}
    for centre, standin in standins.items():
        service = HttpPlainService(standin.start(threads=96))
        server_bulkheads = bulkheads.for_server(centre, "desk", "plain")
        services[centre] = BulkheadPlainService(service, server_bulkheads)
    standins["c"].faults.delay_s = SLOW_DELAY_S if slow else 0.0
    rng, latencies = random.Random(5), []
    refused = {"others": 0, "c": 0}
    pool = concurrent.futures.ThreadPoolExecutor(THREADS)

    def call(centre: str, due: float) -> tuple[str, float, bool]:
        req = PlainRequest(
            "r", "desk", "", "GET", "/stock/x", (), b"", True, Urgency.URGENT, 1e9
        )
        result = services[centre].call(req, "h.i.1.1", 10.0)
        return centre, time.monotonic() - due, result.is_ok()

    futures, due = [], time.monotonic()
    end = due + DURATION_S
    while due < end:
        due += rng.expovariate(CALLS_PER_S)
        time.sleep(max(0.0, due - time.monotonic()))
        futures.append(pool.submit(call, rng.choice(DATA_CENTRES), due))
    for fut in futures:
        centre, latency, answered = fut.result()
        refused["c" if centre == "c" else "others"] += not answered
        if centre != "c":
            latencies.append(latency)
    pool.shutdown()
    for standin in standins.values():
        standin.stop()
    p50 = statistics.median(latencies)
    p99 = statistics.quantiles(latencies, n=100)[98]
    print(
        f"slow={slow!s:5} bounded={bounded!s:5} calls={len(futures)} "
        f"p50={p50 * 1e3:.1f} ms p99={p99 * 1e3:.1f} ms refused={refused}"
    )


if __name__ == "__main__":
    for is_slow, is_bounded in ((False, False), (True, False), (True, True)):
        run(is_slow, is_bounded)
