"""Show that an answer cut off in its head reaches callers as a whole one."""

import concurrent.futures
import itertools
import os
import pathlib
import threading
import time

from review.common.fleet import Fleet, Record, run_case
from review.common.platform import (
    HOST,
    Replica,
    Store,
    make_route,
    write_configuration,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the script runs with its disruption."""

CONTACT_S = 3.0
DISRUPTION_S = 5.5
REQUESTS_PER_S = 60.0
WORK_S = 0.03
TRUNCATED_EVERY = 50
TRUNCATED_SERVERS = 1
BODY_BYTES = 800
KEY = "3d3zji9n73hh2b9wu3fe"


class OrderServer(Replica):
    """Answer with a body of 800 bytes; cut off some answers while told to.

    An answer that is cut off ends after a whole header line, before its length, and
    its connection is closed.
    """

    def __init__(self, store, name, zone):
        super().__init__(store, name, "order-desk", zone)
        self.truncates = False
        self.truncated_ids = set()
        self._numbers = itertools.count(1)
        self._numbers_lock = threading.Lock()

    def body_for(self, request_id: str) -> bytes:
        """Return the whole body of the answer to a request."""
        return f"{self.name} placed order {request_id}\n".encode().ljust(
            BODY_BYTES, b"."
        )

    def _execute(self, handler, headers, fault):
        time.sleep(WORK_S)
        request_id = headers["x-request-id"]
        with self._numbers_lock:
            is_truncated = self.truncates and next(self._numbers) % TRUNCATED_EVERY == 0
        body = self.body_for(request_id)
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Response-Seal: seal-{self.name}-{request_id}\r\n"
        ).encode()
        if is_truncated:
            self.truncated_ids.add(request_id)
            handler.wfile.write(head)
            handler.drop_connection()
            return
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        handler.wfile.write(head + length + body)


def main() -> int:
    """Run the case and return its exit code."""
    record = Record(pathlib.Path(__file__).parent)
    store = Store()
    zones = ("svealand-a", "svealand-b", "svealand-c")
    servers = [OrderServer(store, f"i-{n}", zone) for n, zone in enumerate(zones)]
    routes = [make_route("pule252", "unsafe", "order-desk")]
    write_configuration(store, 1, routes, {"huka270": [KEY]})
    answers = {}

    def send(host, request_id):
        fields = {"X-Request-Id": request_id, "X-Deadline-Ms": "2500"}
        fields.update({"Host": HOST, "X-Key": KEY})
        answer = host.send("POST", "/pule252/2f", b"order", **fields)
        answers[request_id] = answer
        ran = [server.name for server in servers if request_id in server.executed_ids]
        record.write(
            f"{request_id} {host.name} {answer.status} ran at {ran}, the client got"
            f" {len(answer.body)} bytes"
        )

    with Fleet(store.address, 3) as fleet:
        fleet.start()
        time.sleep(CONTACT_S + 1.0)
        if TROUBLE:
            for server in servers[:TRUNCATED_SERVERS]:
                server.truncates = True
            record.write(f"i-0 cuts off each {TRUNCATED_EVERY}th answer")
        began_at = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(64) as pool:
            for number in range(int(DISRUPTION_S * REQUESTS_PER_S)):
                at = began_at + number / REQUESTS_PER_S
                time.sleep(max(0.0, at - time.monotonic()))
                pool.submit(send, fleet.hosts[number % 3], f"{number + 1:016x}")
    wrong = []
    for request_id, answer in sorted(answers.items()):
        if not 200 <= answer.status < 300:
            continue
        whole = [server.body_for(request_id) for server in servers]
        if "x-response-seal" not in answer.headers or answer.body not in whole:
            wrong.append(request_id)
            record.write(
                f"{request_id}: status {answer.status}, X-Response-Seal"
                f" {answer.headers.get('x-response-seal')}, body {answer.body[:20]!r}"
            )
    truncated = set().union(*(server.truncated_ids for server in servers))
    record.write(f"answers cut off by their server: {len(truncated)}")
    record.write(f"successes without the whole body: {len(wrong)}")
    if len([a for a in answers.values() if a.status == 200]) < len(answers) / 2:
        record.write("less than half were served: the case could not run")
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    run_case(main)
