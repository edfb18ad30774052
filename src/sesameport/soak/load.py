"""Send seeded requests to the hosts and record the outcome of each."""

import contextlib
import json
import random
import threading
import time
import uuid

import attrs
import urllib3

from sesameport.soak.processes import HostProcess
from sesameport.standins import demo_key

__all__ = ["LoadGenerator", "Outcome"]

_WORKSPACES = ("tannery-north", "tannery-south")
_REQUEST_TIMEOUT_S = 40.0


@attrs.define
class Outcome:
    """Represent one request of a caller and its response.

    Attributes
    ----------
    kind : str
        ``completion``, ``order`` or ``stock``.
    sent_at, ended_at : float
        Monotonic times, seconds.
    host : str
        Host that received the request.
    prompt, max_tokens : str, int
        Parameters of a completion.
    order_id : str
        Order number; empty for other kinds.
    request_id, execution, problem_type : str
        Values from the response; empty if it has none.
    status : int
        HTTP status; 0 if the connection failed.
    text : str
        Text of the response.
    is_complete : bool
        Whether the response was received to its end.
    output_tokens : int
        Number of tokens received.
    last_chunk_at : float
        Monotonic time of the last chunk of the response, seconds.
    """

    kind: str
    workspace: str
    sent_at: float
    host: str
    prompt: str = ""
    max_tokens: int = 0
    order_id: str = ""
    ended_at: float = 0.0
    status: int = 0
    request_id: str = ""
    execution: str = ""
    problem_type: str = ""
    text: str = ""
    is_complete: bool = False
    output_tokens: int = 0
    last_chunk_at: float = 0.0


class LoadGenerator:
    """Send requests from caller threads until stopped.

    Parameters
    ----------
    hosts : list of HostProcess
        Hosts behind the load balancer, which sends requests to ready hosts only.
    seed : int
        Seed of all random choices.
    callers : int
        Number of threads; each sends one request at a time.
    pause_s : float
        Mean pause between the requests of a caller, seconds.
    """

    def __init__(
        self, hosts: list[HostProcess], seed: int, callers: int, pause_s: float
    ):
        self._hosts = hosts
        self._seed = seed
        self._callers = callers
        self._pause_s = pause_s
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self._ready_hosts: list[HostProcess] = []
        self.outcomes: list[Outcome] = []

    def start(self) -> "LoadGenerator":
        """Start the caller threads and the balancer's readiness checks."""
        self._update_ready_hosts()
        balancer = threading.Thread(target=self._run_balancer, daemon=True)
        balancer.start()
        for number in range(self._callers):
            rng = random.Random(f"{self._seed}-{number}")
            thread = threading.Thread(target=self._run_caller, args=(rng,), daemon=True)
            thread.start()
            self._threads.append(thread)
        return self

    def stop(self) -> None:
        """Stop sending and wait for the outstanding responses."""
        self._stop.set()
        for thread in self._threads:
            thread.join(_REQUEST_TIMEOUT_S + 5.0)

    def _run_balancer(self) -> None:
        while not self._stop.is_set():
            self._update_ready_hosts()
            self._stop.wait(0.25)

    def _update_ready_hosts(self) -> None:
        self._ready_hosts = [host for host in self._hosts if host.is_ready()]

    def _run_caller(self, rng: random.Random) -> None:
        while not self._stop.is_set():
            ready = self._ready_hosts
            if not ready:
                self._stop.wait(0.1)
                continue
            outcome = self._send_request(rng, rng.choice(ready))
            outcome.ended_at = time.monotonic()
            with self._lock:
                self.outcomes.append(outcome)
            self._stop.wait(rng.expovariate(1.0 / self._pause_s))

    def _send_request(self, rng: random.Random, host: HostProcess) -> Outcome:
        kind = rng.choices(("completion", "order", "stock"), (6, 2, 2))[0]
        now = time.monotonic()
        if kind == "completion":
            workspace = rng.choice(_WORKSPACES)
            prompt = f"hide {rng.getrandbits(60)} " * rng.choice((2, 20, 200))
            outcome = Outcome(kind, workspace, now, host.host.name, prompt)
            outcome.max_tokens = rng.choice((5, 20, 60))
            self._send_completion(outcome, host)
            return outcome
        outcome = Outcome(kind, "dhol-makers", now, host.host.name)
        if kind == "order":
            outcome.order_id = str(uuid.UUID(int=rng.getrandbits(128)))
            self._send_order(outcome, host, rng)
            return outcome
        self._send(outcome, host, "GET", "/stock/hide", b"", {})
        return outcome

    def _send_completion(self, outcome: Outcome, host: HostProcess) -> None:
        body = {
            "model": "assessor",
            "prompt": outcome.prompt,
            "max_tokens": outcome.max_tokens,
            "stream": True,
        }
        data = self._send(
            outcome, host, "POST", "/v1/completions", json.dumps(body).encode(), {}
        )
        texts = []
        for line in data.split(b"\n"):
            if line == b"data: [DONE]":
                outcome.is_complete = True
            if not line.startswith(b"data: {"):
                continue
            event = json.loads(line[6:])
            if "error" in event:
                outcome.problem_type = event["error"]["type"]
                outcome.execution = event["error"]["execution"]
                continue
            texts.append(event["choices"][0]["text"])
        outcome.output_tokens = sum(1 for text in texts if text)
        outcome.text = "".join(texts)

    def _send_order(
        self, outcome: Outcome, host: HostProcess, rng: random.Random
    ) -> None:
        body = json.dumps({"order": outcome.order_id}).encode()
        headers = {}
        if rng.random() < 0.7:
            headers["Idempotency-Key"] = outcome.order_id
        self._send(outcome, host, "POST", "/orders", body, headers)
        if headers and rng.random() < 0.3:
            retry_host = rng.choice(self._ready_hosts or [host])
            retry = Outcome(
                "order", outcome.workspace, time.monotonic(), retry_host.host.name
            )
            retry.order_id = outcome.order_id
            self._send(retry, retry_host, "POST", "/orders", body, headers)
            retry.ended_at = time.monotonic()
            with self._lock:
                self.outcomes.append(retry)

    def _send(self, outcome, host, method, path, body, headers) -> bytes:
        headers = {"Authorization": f"Bearer {demo_key(outcome.workspace)}", **headers}
        try:
            response = urllib3.request(
                method,
                f"http://{host.host.caller_address}{path}",
                body=body or None,
                headers=headers,
                timeout=_REQUEST_TIMEOUT_S,
                retries=False,
                preload_content=False,
            )
            outcome.status = response.status
            outcome.request_id = response.headers.get("X-Request-Id", "")
            data = _read_body(response, outcome)
        except (urllib3.exceptions.HTTPError, OSError):
            return b""
        if response.headers.get("Content-Type") == "application/problem+json":
            details = json.loads(data)
            outcome.problem_type = details["type"]
            outcome.execution = details["execution"]
            return b""
        if outcome.kind != "completion":
            outcome.is_complete = True
            outcome.text = data.decode()
        return data


def _read_body(response, outcome: Outcome) -> bytes:
    """Return the response body, or the part received before the connection broke."""
    chunks = []
    with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
        for chunk in response.stream(8_192):
            chunks.append(chunk)
            outcome.last_chunk_at = time.monotonic()
    return b"".join(chunks)
