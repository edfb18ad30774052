"""Provide fake replicas that serve HTTP on loopback."""

import json
import threading
import time

from sesameport.platform.tests.fakes import FakeServer

__all__ = ["FakeReplica"]


class FakeReplica(FakeServer):
    """Serve requests like a replica of a plain service or a model engine.

    Each request uses up one entry of ``faults``; without entries the replica works.
    The faults are "refuse" (503, the request has not run), "error" (500 from the
    service), "cut" (no response), "break" (response cut off in the middle), "unsigned"
    (no X-Response-Seal), "other" (X-Request-Id of another request), "hang" (no response
    until the caller disconnects) and "encoded" (a Content-Encoding).

    The next ``unanswered_prefills`` prefills get no response until the caller
    disconnects. For the next ``dropped_prefills`` the connection is closed at once. The
    next ones are answered with the bodies in ``prefill_bodies``. Others take
    ``prefill_s`` seconds.

    Leases are granted up to ``lease_room`` tokens, or unknown if it is None; ``leases``
    has the granted ones.

    All responses have the headers in ``says``.

    The replica crashes when it begins to run a request that ``crashes_on`` is true for;
    the function gets the headers, with names in lower case, and the body.
    """

    def __init__(self, name, stage="", event_count=6, pause_s=0.0, crashes_on=None):
        super().__init__()
        self.crashes_on = crashes_on
        self.name = name
        self.stage = stage
        self.event_count = event_count
        self.pause_s = pause_s
        self.faults = []
        self.unanswered_prefills = 0
        self.dropped_prefills = 0
        self.prefill_bodies = []
        self.prefill_s = 0.0
        self.stop_after_prefill = False
        self.received_requests = []
        self.received_at = []
        self.executed_ids = []
        self.orders = []
        self.freed_handles = []
        self.lease_room = 1_000_000
        self.leases = {}
        self.released_leases = []
        self.caller_disconnected = threading.Event()
        self.release = threading.Event()

    def registration(self, service, zone="a", **fields):
        """Return the object under which the replica registers."""
        registration = {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        if self.stage:
            registration["stage"] = self.stage
        return {**registration, **fields}

    def handle_request(self, handler, body):
        """Handle one request."""
        if handler.path == "/v1/report":
            report = {"stage": self.stage, "busy": False, "sequence": len(self.orders)}
            handler.send_reply(200, report)
            return
        if handler.path == "/v1/order":
            self.orders.append(json.loads(body))
            handler.send_reply(202, {})
            return
        if handler.path.startswith("/v1/hold-"):
            self._handle_lease(handler, body)
            return
        if handler.command == "DELETE":
            self.freed_handles.append(handler.path.rpartition("/")[2])
            handler.send_reply(200, {})
            return
        headers = {name.lower(): value for name, value in handler.headers.items()}
        self.received_requests.append((handler.command, handler.path, headers, body))
        self.received_at.append(time.monotonic())
        if headers.get("x-expect-instance") != self.name:
            handler.send_reply(421, b"", [("X-Instance-Id", self.name)])
            return
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "refuse":
            handler.send_reply(503, b"", [("X-Not-Executed", "1")])
            return
        if headers.get("x-stage") == "prefill":
            self._run_prefill(handler, headers)
            return
        self.executed_ids.append(headers["x-request-id"])
        if self.crashes_on is not None and self.crashes_on(headers, body):
            self.crash()
            return
        self._execute(handler, headers, fault)

    def _run_prefill(self, handler, headers):
        if self.unanswered_prefills:
            self.unanswered_prefills -= 1
            self._wait_for_disconnect(handler)
            return
        if self.dropped_prefills:
            self.dropped_prefills -= 1
            handler.drop_connection()
            return
        if self.prefill_bodies:
            handler.send_reply(200, self.prefill_bodies.pop(0))
            return
        time.sleep(self.prefill_s)
        tokens = int(headers["x-token-count"].split(",")[0])
        handle = {
            "kvHandle": f"h{len(self.received_requests)}",
            "tokens": tokens,
            "version": 1,
        }
        handler.send_reply(200, handle)
        if self.stop_after_prefill:
            self.stop_after_prefill = False
            threading.Thread(target=self.stop, daemon=True).start()

    def _handle_lease(self, handler, body):
        if handler.command == "DELETE":
            self.released_leases.append(handler.path.rpartition("/")[2])
            handler.send_reply(200, {})
            return
        wanted = json.loads(body)
        if self.lease_room is None:
            handler.send_reply(404, {})
            return
        if wanted["tokens"] > self.lease_room:
            handler.send_reply(503, {})
            return
        self.lease_room -= wanted["tokens"]
        lease = f"l{len(self.leases)}"
        self.leases[lease] = wanted
        handler.send_reply(200, {"hold": lease})

    def _execute(self, handler, headers, fault):
        if fault == "hang":
            self._wait_for_disconnect(handler)
            return
        if fault == "cut":
            handler.drop_connection()
            return
        if fault == "error":
            handler.send_reply(500, b"failed\n", [("X-Response-Seal", "e")])
            return
        request_id = "another" if fault == "other" else headers["x-request-id"]
        response_headers = [("X-Request-Id", request_id)]
        if fault != "unsigned":
            response_headers.append(("X-Response-Seal", f"seal-{self.name}"))
        if fault == "encoded":
            response_headers.append(("Content-Encoding", "gzip"))
        if self.stage:
            self._send_stream(handler, headers, response_headers, fault)
            return
        if fault == "break":
            handler.send_response(200)
            for name, value in response_headers:
                handler.send_header(name, value)
            handler.send_header("Content-Length", "100")
            handler.end_headers()
            handler.wfile.write(b"half")
            handler.drop_connection()
            return
        time.sleep(self.pause_s)
        handler.send_reply(
            200, f"{self.name} ran {request_id}".encode(), response_headers
        )

    def _send_stream(self, handler, headers, response_headers, fault):
        handler.send_response(200)
        for name, value in [*response_headers, ("Content-Type", "text/event-stream")]:
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        first_event = int(headers.get("last-event-id") or 0) + 1
        for number in range(first_event, self.event_count + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if fault == "break" and number == self.event_count // 2:
                handler.wfile.write(b"%x\r\n%b\r\n" % (4, event[:4]))
                handler.drop_connection()
                return
            try:
                handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
                handler.wfile.flush()
                time.sleep(self.pause_s)
            except OSError:
                self.caller_disconnected.set()
                return
        handler.wfile.write(b"0\r\n\r\n")

    def _wait_for_disconnect(self, handler):
        handler.connection.settimeout(10.0)
        try:
            if handler.connection.recv(1) == b"":
                self.caller_disconnected.set()
        except OSError:
            self.caller_disconnected.set()
        handler.drop_connection()
