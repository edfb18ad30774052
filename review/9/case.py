"""A stream that waits for memory when its machine gets SIGTERM is never answered."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import standins as s  # noqa: E402

KEY = "3d3zji9n73hh2b9wu3fe"
LOSS_SLACK_S = 0.2
GRACE_S = 8.0
PATIENCE_S = 4 * 2.013
"""Time that a client waits for the first event: four times the route's objective."""


def case(record, has_trouble, machines):
    """Fill the decode replica's memory, stop the machine, and send four streams."""
    replicas = [
        s.Replica(record, "i-prefill1", "draft-llm", "prefill", slots=16),
        s.Replica(
            record, "i-decode1", "draft-llm", "decode", slots=16, events=170, gap_s=0.07
        ),
    ]
    routes = [
        s.route(
            "kiosk",
            "streaming",
            "draft-llm",
            timeoutMs=14_000,
            targetLatencyMs=2_013,
            targetGapMs=300,
        ),
    ]
    tenant = s.tenant("huka270", KEY) | {"ratePerS": 0, "burst": 0}
    machines += s.start_system(
        record, routes, [tenant], replicas, slots=16, kvCapacityTokens=28_408
    )
    machine = machines[0]
    machine.start()
    machine.wait_ready()
    time.sleep(1.0)
    answers, threads = {}, []

    def stream(name):
        answers[name] = s.Connection(record, machine.front).send(
            "POST",
            "/kiosk/2f",
            name,
            KEY,
            14_091,
            b"prompt",
            X_Model="m",
            X_Token_Count="6000,170",
            X_Length_Hint="170",
            X_Prompt_Prefix=f"5c1e07a2:200,{name.encode().hex()}:5800",
        )

    def start(name):
        threads.append(threading.Thread(target=stream, args=(name,)))
        threads[-1].start()

    for number in range(1, 5):
        start(f"running{number}")
        time.sleep(0.1)
    time.sleep(2.0)
    stopped_at = s.now_s()
    if has_trouble:
        machine.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    for number in range(1, 5):
        start(f"late{number}")
        time.sleep(0.3)
    for thread in threads:
        thread.join()
    if has_trouble:
        record.write(f"process ended with code {machine.process.wait(5.0)}")
    ran = {run for replica in replicas for run in replica.runs}
    lost = []
    for name, answer in sorted(answers.items()):
        if name in ran or answer.is_complete:
            continue
        held_s = answer.ended_at - answer.sent_at
        is_planned = stopped_at <= answer.ended_at <= stopped_at + GRACE_S + 1.0
        if is_planned and LOSS_SLACK_S < held_s < PATIENCE_S:
            lost.append(f"{name} after {held_s:.1f} s")
    if lost:
        return (
            f"LOST: read by a machine with SIGTERM, passed on to no replica, and the "
            f"connection ended without an answer: {', '.join(lost)}"
        )
    return ""


s.run_case(case, FOLDER)
