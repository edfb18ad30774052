"""Provide a stand-in model engine with an OpenAI-compatible API and KV transfer.

``POST /v1/completions`` runs a prefill when ``kv_transfer_params`` has
``do_remote_decode``, else a decode that may import a KV cache. The generated tokens
depend only on the prompt, which lets a test detect the response of another request.
"""

import hashlib
import itertools
import json
import threading
import time
from urllib.parse import parse_qs

import urllib3

from sesameport.domain import ServerRole
from sesameport.standins.engine_model import (
    CRASH_MARK,
    EngineProfile,
    Run,
    Stream,
    expected_tokens,
)
from sesameport.standins.faults import FaultPlan, InjectedFault
from sesameport.standins.http import LoopbackServer, json_response, read_json

__all__ = ["EngineStandin"]

_CHARS_PER_TOKEN = 4
_PREFIX_BLOCK_CHARS = 4_096


class EngineStandin:
    """Simulate one engine over HTTP.

    Attributes
    ----------
    faults : FaultPlan
        Faults to inject.
    runs : list of Run
        Every prefill and decode that started, for checks by tests.
    seen_headers : set
        Lower-case names of all received headers. A key must not be among them.
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
        self._prefill_results: dict[str, dict] = {}
        self._streams: dict[str, Stream] = {}
        self._running_prefills: dict[str, dict] = {}
        self._prefill_lock = threading.Lock()
        self._sequence = itertools.count(1)
        self._kv_events: list[dict] = []
        self._load_history: list[tuple[float, dict]] = []
        self._http = urllib3.PoolManager(num_pools=16, maxsize=8)
        self._server: LoopbackServer | None = None
        self._epoch = 0

    def start(self, threads: int = 48, port: int = 0) -> str:
        """Start serving on loopback and return ``IP:port``."""
        self._server = LoopbackServer(self._serve_request, threads, port).start()
        self.address = self._server.address
        return self.address

    def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()

    def crash(self) -> None:
        """Drop all attempts and their connections, as a restart does."""
        with self._lock:
            self.crashes += 1
            self._epoch += 1
            for stream in self._streams.values():
                stream.cancelled = True
            self._streams.clear()
            self._prefill_results.clear()
            self._running_prefills.clear()

    def list_holds(self) -> list[dict]:
        """Return the holds of all attempts in the form of ``GET /v1/requests``."""
        now = time.monotonic()
        with self._lock:
            self._remove_expired(now)
            holds = [
                _hold_entry(attempt_id, "prefill-run", now - run["since"])
                for attempt_id, run in self._running_prefills.items()
            ]
            holds += [
                _hold_entry(entry["attempt_id"], "prefill-result", now - entry["since"])
                for entry in self._prefill_results.values()
            ]
            holds += [
                _hold_entry(
                    stream.attempt_id,
                    "decode-slot",
                    now - stream.started_at,
                    now - stream.last_read_at,
                )
                for stream in self._streams.values()
            ]
        return holds

    def _remove_expired(self, now: float) -> None:
        expired = [
            key for key, entry in self._prefill_results.items() if entry["until"] < now
        ]
        for key in expired:
            del self._prefill_results[key]

    def _serve_request(self, environ, start_response):
        for header in environ:
            if header.startswith("HTTP_"):
                self.seen_headers.add(header[5:].replace("_", "-").lower())
        if self.faults.inject_before_effect(environ):
            return json_response(start_response, 503, {"detail": "unavailable"})
        return self._route(environ, start_response)

    def _route(self, environ, start_response):
        parts = environ["PATH_INFO"].strip("/").split("/")
        method = environ["REQUEST_METHOD"]
        query = parse_qs(environ.get("QUERY_STRING", ""))
        if parts == ["v1", "completions"]:
            return self._handle_completion(read_json(environ), environ, start_response)
        if parts[:2] == ["v1", "requests"]:
            if method == "GET" and len(parts) == 2:
                return json_response(start_response, 200, {"holds": self.list_holds()})
            if method == "GET":
                offset = int(query.get("offset", ["0"])[0])
                return self._handle_resume(parts[2], offset, start_response)
            was_held = self._cancel(parts[2])
            self.faults.inject_after_effect()
            return json_response(start_response, 200, {"held": was_held})
        if parts == ["load"]:
            return json_response(start_response, 200, self._report_load())
        if parts == ["kv-events"]:
            after = int(query.get("after", ["0"])[0])
            with self._lock:
                events = [e for e in self._kv_events if e["sequence"] > after]
                last_sequence = (
                    self._kv_events[-1]["sequence"] if self._kv_events else 0
                )
            return json_response(
                start_response, 200, {"events": events, "last_sequence": last_sequence}
            )
        if parts[0] == "kv" and len(parts) == 2:
            return self._handle_kv_export(parts[1], start_response)
        if parts == ["orders"]:
            return self._handle_order(read_json(environ), start_response)
        return json_response(start_response, 404, {"detail": "no such path"})

    def _handle_completion(self, body, environ, start_response):
        attempt_id = environ.get("HTTP_X_REQUEST_ID", "")
        if CRASH_MARK in body["prompt"]:
            self.crash()
            raise InjectedFault
        params = body.get("kv_transfer_params") or {}
        if params.get("do_remote_decode"):
            return self._handle_prefill(attempt_id, body, start_response)
        return self._handle_decode(attempt_id, body, params, start_response)

    def _handle_prefill(self, attempt_id, body, start_response):
        prompt = body["prompt"] + body.get("generated", "")
        tokens = max(1, len(prompt) // _CHARS_PER_TOKEN)
        run = {"since": time.monotonic(), "tokens": tokens, "cancelled": False}
        epoch = self._epoch
        with self._lock:
            self._running_prefills[attempt_id] = run
            self.runs.append(Run("prefill", attempt_id, time.monotonic()))
        with self._prefill_lock:
            if not run["cancelled"]:
                cached = self._count_cached_tokens(prompt)
                uncached_tokens = max(1, tokens - cached)
                time.sleep(uncached_tokens / self.profile.prefill_tokens_per_s)
        now = time.monotonic()
        with self._lock:
            self._running_prefills.pop(attempt_id, None)
            if epoch != self._epoch:
                raise InjectedFault
            if run["cancelled"]:
                return json_response(start_response, 409, {"detail": "cancelled"})
            handle = f"{self.name}-{next(self._sequence)}"
            self._prefill_results[handle] = {
                "attempt_id": attempt_id,
                "since": now,
                "until": now + self.profile.result_lifetime_s,
                "tokens": tokens,
            }
            self._store_prefix(prompt)
        self.faults.inject_after_effect()
        response = {
            "kv_transfer_params": {
                "remote_handle": handle,
                "remote_address": self.address,
                "lifetime_s": self.profile.result_lifetime_s,
            }
        }
        return json_response(start_response, 200, response)

    def _count_cached_tokens(self, prompt: str) -> int:
        stored = {e["prefix_digest"] for e in self._kv_events if e["stored"]}
        cached = 0
        for end in range(_PREFIX_BLOCK_CHARS, len(prompt) + 1, _PREFIX_BLOCK_CHARS):
            if _digest(prompt[:end]) not in stored:
                break
            cached = end // _CHARS_PER_TOKEN
        return cached

    def _store_prefix(self, prompt: str) -> None:
        stored = {e["prefix_digest"] for e in self._kv_events if e["stored"]}
        for end in range(_PREFIX_BLOCK_CHARS, len(prompt) + 1, _PREFIX_BLOCK_CHARS):
            digest = _digest(prompt[:end])
            if digest in stored:
                continue
            event = {
                "sequence": len(self._kv_events) + 1,
                "prefix_digest": digest,
                "stored": True,
            }
            self._kv_events.append(event)

    def _handle_kv_export(self, handle, start_response):
        with self._lock:
            self._remove_expired(time.monotonic())
            result = self._prefill_results.pop(handle, None)
        if result is None:
            return json_response(start_response, 404, {"detail": "handle expired"})
        return json_response(start_response, 200, {"tokens": result["tokens"]})

    def _handle_decode(self, attempt_id, body, params, start_response):
        with self._lock:
            stream_limit = self.profile.slots + self.profile.queue_size
            if len(self._streams) >= stream_limit:
                return json_response(start_response, 429, {"detail": "busy"})
            tokens = expected_tokens(body["prompt"], body["max_tokens"])
            stream = Stream(attempt_id, tokens, int(body.get("offset", 0)))
            self._streams[attempt_id] = stream
        try:
            status = self._import_kv_cache(body, params, stream)
        except (urllib3.exceptions.HTTPError, InjectedFault):
            status = 404
        if status != 200:
            self._cancel(attempt_id)
            return json_response(start_response, status, {"detail": "import failed"})
        self.runs.append(Run("decode", attempt_id, time.monotonic()))
        threading.Thread(target=self._generate, args=(stream,), daemon=True).start()
        return self._start_stream(stream, stream.offset, start_response)

    def _import_kv_cache(self, body, params, stream) -> int:
        if not params.get("remote_handle"):
            tokens = len(body["prompt"]) // _CHARS_PER_TOKEN
            time.sleep(tokens / self.profile.prefill_tokens_per_s)
            return 200
        while self.faults.stall_transfers and not stream.cancelled:
            time.sleep(0.02)
        url = f"http://{params['remote_address']}/kv/{params['remote_handle']}"
        response = self._http.request("POST", url, timeout=2.0, retries=False)
        time.sleep(params.get("kv_bytes", 0) / self.profile.link_bytes_per_s)
        return 200 if response.status == 200 else 404

    def _generate(self, stream: Stream) -> None:
        while stream.produced < len(stream.tokens) and not stream.cancelled:
            time.sleep(self.profile.token_interval_s)
            with self._lock:
                stream.produced += 1
                self._lock.notify_all()

    def _start_stream(self, stream: Stream, offset: int, start_response):
        headers = [("Content-Type", "text/event-stream")]
        start_response("200 OK", headers)
        stream.latest_reader += 1
        return self._iterate_events(stream, offset, stream.latest_reader)

    def _iterate_events(self, stream: Stream, offset: int, reader: int):
        opened_at = time.monotonic()
        total = len(stream.tokens)
        while offset < total:
            with self._lock:
                while stream.produced <= offset and not stream.cancelled:
                    self._lock.wait(0.5)
            if stream.cancelled or self.faults.down or stream.latest_reader != reader:
                raise InjectedFault
            while opened_at < self.faults.stall_streams_opened_before:
                time.sleep(0.05)
                if stream.cancelled or stream.latest_reader != reader:
                    raise InjectedFault
            is_last = offset == total - 1
            chunk = {
                "id": stream.attempt_id,
                "offset": offset,
                "choices": [
                    {
                        "text": stream.tokens[offset],
                        "finish_reason": "length" if is_last else None,
                    }
                ],
            }
            yield f"data: {json.dumps(chunk)}\n\n".encode()
            stream.last_read_at = time.monotonic()
            offset += 1
        with self._lock:
            self._streams.pop(stream.attempt_id, None)
        yield b"data: [DONE]\n\n"

    def _handle_resume(self, attempt_id, offset, start_response):
        with self._lock:
            stream = self._streams.get(attempt_id)
        if stream is None or offset < stream.offset:
            return json_response(start_response, 404, {"detail": "no such stream"})
        return self._start_stream(stream, offset, start_response)

    def _cancel(self, attempt_id: str) -> bool:
        with self._lock:
            stream = self._streams.pop(attempt_id, None)
            if stream is not None:
                stream.cancelled = True
            run = self._running_prefills.get(attempt_id)
            if run is not None:
                run["cancelled"] = True
            handles = [
                key
                for key, result in self._prefill_results.items()
                if result["attempt_id"] == attempt_id
            ]
            for key in handles:
                del self._prefill_results[key]
            self._lock.notify_all()
        return bool(stream or run or handles)

    def _report_load(self) -> dict:
        now = time.monotonic()
        with self._lock:
            running = min(len(self._streams), self.profile.slots)
            report = {
                "running": running,
                "waiting": len(self._streams) - running,
                "slots": self.profile.slots,
                "prefill_queue_tokens": sum(
                    run["tokens"] for run in self._running_prefills.values()
                ),
                "kv_pieces_free": 1_000,
                "sequence": next(self._sequence),
            }
            self._load_history.append((now, report))
            self._load_history = self._load_history[-50:]
            aged_reports = [
                (taken_at, entry)
                for taken_at, entry in self._load_history
                if now - taken_at >= self.profile.load_lag_s
            ]
        taken_at, reported = aged_reports[-1] if aged_reports else self._load_history[0]
        return {**reported, "age_s": now - taken_at}

    def _handle_order(self, body, start_response):
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
        self.faults.inject_after_effect()
        return json_response(start_response, 200, {})


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _hold_entry(attempt_id: str, kind: str, age_s: float, idle_s: float = 0.0) -> dict:
    return {
        "attempt_id": attempt_id,
        "kind": kind,
        "age_s": age_s,
        "idle_s": idle_s,
    }
