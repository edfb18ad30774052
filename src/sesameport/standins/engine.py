"""Stand in for a model engine with an OpenAI-compatible API and KV transfer.

``POST /v1/completions`` runs a prefill when ``kv_transfer_params`` has
``do_remote_decode``, else a decode that may import a KV cache. The engine produces
tokens that depend on the prompt alone, so that a test can tell whose answer it sees.
"""

import hashlib
import itertools
import json
import threading
import time
from urllib.parse import parse_qs

import urllib3

from sesameport.standins.engine_model import (
    CRASH_MARK,
    EngineProfile,
    Run,
    Stream,
    expected_tokens,
)
from sesameport.standins.faults import FaultPlan, InjectedFault
from sesameport.standins.http import LoopbackServer, json_response, read_json
from sesameport.world import ServerRole

__all__ = ["EngineStandin"]

_BYTES_PER_TOKEN = 4
_PREFIX_CHARS = 4_096


class EngineStandin:
    """Serve one engine over HTTP.

    Attributes
    ----------
    faults : FaultPlan
        Faults to show.
    runs : list of Run
        Every prefill and decode that started, for checks from the outside.
    seen_headers : set
        Names of all request headers seen, lower case; a key must not be among them.
    """

    def __init__(
        self,
        name: str,
        role: ServerRole,
        profile: EngineProfile | None = None,
        faults: FaultPlan | None = None,
    ):
        self.name = name
        self.role = role
        self.profile = profile or EngineProfile()
        self.faults = faults or FaultPlan()
        self.runs: list[Run] = []
        self.seen_headers: set[str] = set()
        self.orders: list[dict] = []
        self.fencing_number = 0
        self.draining = False
        self.address = ""
        self.crashes = 0
        self._lock = threading.Condition()
        self._handles: dict[str, dict] = {}
        self._streams: dict[str, Stream] = {}
        self._prefilling: dict[str, dict] = {}
        self._prefill_lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._events: list[dict] = []
        self._loads: list[tuple[float, dict]] = []
        self._http = urllib3.PoolManager(num_pools=16, maxsize=8)
        self._server: LoopbackServer | None = None
        self._epoch = 0

    def start(self, threads: int = 48, port: int = 0) -> str:
        """Serve on loopback and return ``IP:port``."""
        self._server = LoopbackServer(self._app, threads, port).start()
        self.address = self._server.address
        return self.address

    def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()

    def crash(self) -> None:
        """Lose all state and break every connection, as a restart does."""
        with self._lock:
            self.crashes += 1
            self._epoch += 1
            for stream in self._streams.values():
                stream.cancelled = True
            self._streams.clear()
            self._handles.clear()
            self._prefilling.clear()

    def held(self) -> list[dict]:
        """List what attempts hold, as ``GET /v1/requests`` does."""
        now = time.monotonic()
        with self._lock:
            self._expire(now)
            holds = [
                _hold(attempt_id, "prefill-run", now - run["since"])
                for attempt_id, run in self._prefilling.items()
            ]
            holds += [
                _hold(item["attempt_id"], "prefill-result", now - item["since"])
                for item in self._handles.values()
            ]
            holds += [
                _hold(
                    s.attempt_id,
                    "decode-slot",
                    now - s.started_at,
                    now - s.last_read_at,
                )
                for s in self._streams.values()
            ]
        return holds

    def _expire(self, now: float) -> None:
        old = [key for key, item in self._handles.items() if item["until"] < now]
        for key in old:
            del self._handles[key]

    def _app(self, environ, start_response):
        for header in environ:
            if header.startswith("HTTP_"):
                self.seen_headers.add(header[5:].replace("_", "-").lower())
        if self.faults.before_call():
            return json_response(start_response, 503, {"detail": "unavailable"})
        return self._route(environ, start_response)

    def _route(self, environ, start_response):
        parts = environ["PATH_INFO"].strip("/").split("/")
        method = environ["REQUEST_METHOD"]
        query = parse_qs(environ.get("QUERY_STRING", ""))
        if parts == ["v1", "completions"]:
            return self._complete(read_json(environ), environ, start_response)
        if parts[:2] == ["v1", "requests"]:
            if method == "GET" and len(parts) == 2:
                return json_response(start_response, 200, {"holds": self.held()})
            if method == "GET":
                offset = int(query.get("offset", ["0"])[0])
                return self._resume(parts[2], offset, start_response)
            found = self._cancel(parts[2])
            self.faults.after_call()
            return json_response(start_response, 200, {"held": found})
        if parts == ["load"]:
            return json_response(start_response, 200, self._load())
        if parts == ["kv-events"]:
            after = int(query.get("after", ["0"])[0])
            with self._lock:
                events = [e for e in self._events if e["sequence"] > after]
                last = self._events[-1]["sequence"] if self._events else 0
            return json_response(
                start_response, 200, {"events": events, "last_sequence": last}
            )
        if parts[0] == "kv" and len(parts) == 2:
            return self._export(parts[1], start_response)
        if parts == ["orders"]:
            return self._order(read_json(environ), start_response)
        return json_response(start_response, 404, {"detail": "no such path"})

    def _complete(self, body, environ, start_response):
        attempt_id = environ.get("HTTP_X_REQUEST_ID", "")
        if CRASH_MARK in body["prompt"]:
            self.crash()
            raise InjectedFault
        params = body.get("kv_transfer_params") or {}
        if params.get("do_remote_decode"):
            return self._prefill(attempt_id, body, start_response)
        return self._decode(attempt_id, body, params, start_response)

    def _prefill(self, attempt_id, body, start_response):
        prompt = body["prompt"] + body.get("generated", "")
        tokens = max(1, len(prompt) // _BYTES_PER_TOKEN)
        run = {"since": time.monotonic(), "tokens": tokens, "cancelled": False}
        epoch = self._epoch
        with self._lock:
            self._prefilling[attempt_id] = run
            self.runs.append(Run("prefill", attempt_id, time.monotonic()))
        with self._prefill_lock:
            if not run["cancelled"]:
                cached = self._cached(prompt)
                work = max(1, tokens - cached)
                time.sleep(work / self.profile.prefill_tokens_per_s)
        now = time.monotonic()
        with self._lock:
            self._prefilling.pop(attempt_id, None)
            if epoch != self._epoch:
                raise InjectedFault
            if run["cancelled"]:
                return json_response(start_response, 409, {"detail": "cancelled"})
            handle = f"{self.name}-{next(self._numbers)}"
            self._handles[handle] = {
                "attempt_id": attempt_id,
                "since": now,
                "until": now + self.profile.result_lifetime_s,
                "tokens": tokens,
            }
            self._store_prefix(prompt)
        self.faults.after_call()
        answer = {
            "kv_transfer_params": {
                "remote_handle": handle,
                "remote_address": self.address,
                "lifetime_s": self.profile.result_lifetime_s,
            }
        }
        return json_response(start_response, 200, answer)

    def _cached(self, prompt: str) -> int:
        stored = {e["prefix_digest"] for e in self._events if e["stored"]}
        cached = 0
        for end in range(_PREFIX_CHARS, len(prompt) + 1, _PREFIX_CHARS):
            if _digest(prompt[:end]) not in stored:
                break
            cached = end // _BYTES_PER_TOKEN
        return cached

    def _store_prefix(self, prompt: str) -> None:
        stored = {e["prefix_digest"] for e in self._events if e["stored"]}
        for end in range(_PREFIX_CHARS, len(prompt) + 1, _PREFIX_CHARS):
            digest = _digest(prompt[:end])
            if digest in stored:
                continue
            event = {
                "sequence": len(self._events) + 1,
                "prefix_digest": digest,
                "stored": True,
            }
            self._events.append(event)

    def _export(self, handle, start_response):
        with self._lock:
            self._expire(time.monotonic())
            item = self._handles.pop(handle, None)
        if item is None:
            return json_response(start_response, 404, {"detail": "handle expired"})
        return json_response(start_response, 200, {"tokens": item["tokens"]})

    def _decode(self, attempt_id, body, params, start_response):
        with self._lock:
            full = self.profile.slots + self.profile.queue_size
            if len(self._streams) >= full:
                return json_response(start_response, 429, {"detail": "busy"})
            tokens = expected_tokens(body["prompt"], body["max_tokens"])
            stream = Stream(attempt_id, tokens, int(body.get("offset", 0)))
            self._streams[attempt_id] = stream
        try:
            status = self._import(body, params, stream)
        except (urllib3.exceptions.HTTPError, InjectedFault):
            status = 404
        if status != 200:
            self._cancel(attempt_id)
            return json_response(start_response, status, {"detail": "import failed"})
        self.runs.append(Run("decode", attempt_id, time.monotonic()))
        threading.Thread(target=self._produce, args=(stream,), daemon=True).start()
        return self._send(stream, stream.offset, start_response)

    def _import(self, body, params, stream) -> int:
        if not params.get("remote_handle"):
            tokens = len(body["prompt"]) // _BYTES_PER_TOKEN
            time.sleep(tokens / self.profile.prefill_tokens_per_s)
            return 200
        while self.faults.stall_transfers and not stream.cancelled:
            time.sleep(0.02)
        url = f"http://{params['remote_address']}/kv/{params['remote_handle']}"
        answer = self._http.request("POST", url, timeout=2.0, retries=False)
        time.sleep(params.get("kv_bytes", 0) / self.profile.link_bytes_per_s)
        return 200 if answer.status == 200 else 404

    def _produce(self, stream: Stream) -> None:
        while stream.produced < len(stream.tokens) and not stream.cancelled:
            time.sleep(self.profile.token_interval_s)
            with self._lock:
                stream.produced += 1
                self._lock.notify_all()

    def _send(self, stream: Stream, offset: int, start_response):
        headers = [("Content-Type", "text/event-stream")]
        start_response("200 OK", headers)
        stream.latest_reader += 1
        return self._events_of(stream, offset, stream.latest_reader)

    def _events_of(self, stream: Stream, offset: int, reader: int):
        opened = time.monotonic()
        total = len(stream.tokens)
        while offset < total:
            with self._lock:
                while stream.produced <= offset and not stream.cancelled:
                    self._lock.wait(0.5)
            if stream.cancelled or self.faults.down or stream.latest_reader != reader:
                raise InjectedFault
            while opened < self.faults.silent_before:
                time.sleep(0.05)
                if stream.cancelled or stream.latest_reader != reader:
                    raise InjectedFault
            last = offset == total - 1
            chunk = {
                "id": stream.attempt_id,
                "offset": offset,
                "choices": [
                    {
                        "text": stream.tokens[offset],
                        "finish_reason": "length" if last else None,
                    }
                ],
            }
            yield f"data: {json.dumps(chunk)}\n\n".encode()
            stream.last_read_at = time.monotonic()
            offset += 1
        with self._lock:
            self._streams.pop(stream.attempt_id, None)
        yield b"data: [DONE]\n\n"

    def _resume(self, attempt_id, offset, start_response):
        with self._lock:
            stream = self._streams.get(attempt_id)
        if stream is None or offset < stream.offset:
            return json_response(start_response, 404, {"detail": "no such stream"})
        return self._send(stream, offset, start_response)

    def _cancel(self, attempt_id: str) -> bool:
        with self._lock:
            stream = self._streams.pop(attempt_id, None)
            if stream is not None:
                stream.cancelled = True
            run = self._prefilling.get(attempt_id)
            if run is not None:
                run["cancelled"] = True
            handles = [
                key
                for key, item in self._handles.items()
                if item["attempt_id"] == attempt_id
            ]
            for key in handles:
                del self._handles[key]
            self._lock.notify_all()
        return bool(stream or run or handles)

    def _load(self) -> dict:
        now = time.monotonic()
        with self._lock:
            running = min(len(self._streams), self.profile.slots)
            report = {
                "running": running,
                "waiting": len(self._streams) - running,
                "slots": self.profile.slots,
                "prefill_queue_tokens": sum(
                    run["tokens"] for run in self._prefilling.values()
                ),
                "kv_pieces_free": 1_000,
                "sequence": next(self._numbers),
            }
            self._loads.append((now, report))
            self._loads = self._loads[-50:]
            old = [
                (taken, item)
                for taken, item in self._loads
                if now - taken >= self.profile.load_lag_s
            ]
        taken, item = old[-1] if old else self._loads[0]
        return {**item, "age_s": now - taken}

    def _order(self, body, start_response):
        number = int(body["fencing_number"])
        with self._lock:
            if number < self.fencing_number and not self.faults.ignores_fencing:
                detail = {"detail": "old fencing number"}
                return json_response(start_response, 412, detail)
            self.fencing_number = max(number, self.fencing_number)
            self.orders.append(body)
            if body["kind"] == "set-role":
                self.role = ServerRole(body["argument"])
            if body["kind"] == "drain":
                self.draining = body["argument"] == "on"
        self.faults.after_call()
        return json_response(start_response, 200, {})


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _hold(attempt_id: str, kind: str, age_s: float, idle_s: float = 0.0) -> dict:
    return {
        "attempt_id": attempt_id,
        "kind": kind,
        "age_s": age_s,
        "idle_s": idle_s,
    }
