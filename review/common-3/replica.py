"""Stand-in of a replica: a plain service or a model replica with a stage."""

import json
import threading
import time

from http_io import HttpService

HEARTBEAT_S = 1.2
REWRITTEN_S = 1.8
"""Time after the return of the store in which a replica has written again what it wrote
before; the pages allow about two seconds for entries that expired in an outage."""


class Replica(HttpService):
    """Run requests, take orders and register in the store.

    Parameters
    ----------
    store : Store
        Gets the entry every ``HEARTBEAT_S``.
    name, service, zone : str
        Id, service and zone.
    stage : str
        Stage of a model replica, or an empty string.
    work_s : float
        Time of one plain request, or of a prefill, seconds.
    note : callable
        Called with what the replica got and did.

    Attributes
    ----------
    ran : list
        Unix time and id of each request that it has begun to run.
    said_leaving : list
        Ids of the requests that it answered with `Server-Leaving`.
    orders : list
        Unix time, status and body of each order.
    """

    def __init__(
        self, store, name, service, zone, stage="", work_s=0.02, note=lambda *f: None
    ):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.stage, self.work_s, self._note = stage, work_s, note
        self.born = int(time.time() * 1000)
        self.slots = 24 if stage else 6
        self.state = "ready"
        self.leaving = False
        self.ran = []
        self.said_leaving = []
        self.orders = []
        self._taken = 0
        self._fence = 0
        self._busy_until = 0.0
        self._lock = threading.Lock()
        self._sequence = 0
        self._registered = True
        self._ended = threading.Event()
        super().__init__()
        self.write_entry()
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def all_answers(self):
        """Return the header of letter 6 while the replica leaves."""
        return [("Server-Leaving", "1")] if self.leaving else []

    # The entry ---------------------------------------------------------------

    def write_entry(self):
        """Write the entry of now, or remove it after `withdraw`."""
        if not self._registered:
            self.store.remove("servers", self.name, self.name)
            return
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        self.store.put("servers", self.name, entry, self.name)

    def _heartbeat(self):
        while not self._ended.wait(HEARTBEAT_S):
            left_s = self.store.came_back_at + REWRITTEN_S - time.monotonic()
            if self.store.is_away or self._ended.wait(max(0.0, left_s)):
                continue
            self.write_entry()

    def drain(self):
        """Leave with an announcement in the store."""
        self.state, self.leaving = "draining", True
        self.write_entry()

    def withdraw(self):
        """Leave without an announcement: the entry goes, the replica serves on."""
        self.leaving, self._registered = True, False
        self.write_entry()

    def end(self):
        """Exit; the entry is removed."""
        self._registered = False
        self._ended.set()
        if not self.store.is_away:
            self.write_entry()
        self.close()

    def crash(self):
        """End without a word: the entry stays."""
        self._ended.set()
        self.close()

    # Requests ----------------------------------------------------------------

    def handle(self, handler, body):
        """Answer one request or call."""
        headers = {name.lower(): value for name, value in handler.headers.items()}
        path = handler.path
        if headers.get("x-expect-instance", self.name) != self.name:
            handler.reply(421, b"", [("X-Instance-Id", self.name)])
        elif path == "/v1/report":
            handler.reply(200, self._report())
        elif path == "/v1/order":
            handler.reply(*self._take_order(json.loads(body), handler))
        elif path == "/health":
            status = 503 if self.leaving else 200
            handler.reply(status, b"", [("X-Instance-Id", self.name)])
        elif path.startswith("/v1/hold-take"):
            handler.reply(503, {})
        elif path.startswith("/v1/"):
            handler.reply(200, {})
        else:
            self._run(handler, headers)

    def _report(self):
        with self._lock:
            return {
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": time.monotonic() < self._busy_until,
                "sequence": self._taken,
                "queuedRequests": 0,
                "runningRequests": 0,
                "kvUsed": 0,
                "kvTotal": 37_563,
                "kvHandles": 0,
                "born": self.born,
            }

    def _take_order(self, order, handler):
        with self._lock:
            status = self._order_status(order)
            if status == 202:
                self._taken += 1
                self._busy_until = time.monotonic() + 1.5
                threading.Timer(1.5, self._change_stage, [order["stage"]]).start()
            self.orders.append((time.time(), status, order))
        host = handler.client_address[0]
        self._note("order", self.name, status, order, "from", host)
        return status, {}

    def _order_status(self, order):
        if not order.get("holder") or type(order.get("fencingToken")) is not int:
            return 400
        if order["fencingToken"] < self._fence:
            return 412
        self._fence = order["fencingToken"]
        if order.get("operation") != "stage":
            return 400
        if time.monotonic() < self._busy_until:
            return 409
        if order.get("precondition", self._taken) != self._taken:
            return 409
        return 200 if order["stage"] == self.stage else 202

    def _change_stage(self, stage):
        self.stage = stage
        if not self.store.is_away:
            self.write_entry()

    def _run(self, handler, headers):
        request_id = headers.get("x-request-id", "")
        if not request_id:
            handler.reply(400, b"", [("X-Not-Executed", "1")])
            return
        base = [("X-Request-Id", request_id), ("X-Response-Seal", f"s.{self.name}")]
        stage = headers.get("x-stage", "")
        at, leaving = time.time(), self.leaving
        if stage == "prefill":
            tokens = int(headers.get("x-token-count", "0").split(",")[0])
            time.sleep(self.work_s)
            handle = {"kvHandle": request_id[:12], "tokens": tokens, "version": 1}
            handler.reply(200, handle)
            return
        self.ran.append((at, request_id))
        host = handler.client_address[0]
        self._note("run", self.name, request_id, "from", host, "leaving", leaving)
        if not self.stage:
            time.sleep(self.work_s)
            if self.leaving:
                self.said_leaving.append(request_id)
            handler.reply(200, f"{self.name} {request_id}\n".encode() * 20, base)
            return
        stream = [("Content-Type", "text/event-stream"), ("X-Weight-Versions", "1")]
        handler.head(200, [*base, *stream, ("Transfer-Encoding", "chunked")])
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, 11):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
            time.sleep(0.03)
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()
