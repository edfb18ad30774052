"""Send a seeded load to the hosts and keep what each caller got."""

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

__all__ = ["Load", "Outcome"]

_WORKSPACES = ("tannery-north", "tannery-south")
_TIMEOUT_S = 40.0


@attrs.define
class Outcome:
    """Hold what one caller asked and got.

    Attributes
    ----------
    kind : str
        ``completion``, ``order`` or ``stock``.
    sent, ended : float
        Monotonic times, seconds.
    host : str
        Host that was called.
    request_id, execution, problem : str
        From the answer; empty where it had none.
    status : int
        HTTP status; 0 when the connection failed.
    text : str
        Text of the answer.
    whole : bool
        Whether the answer came with its end mark.
    last_token : float
        Monotonic time at which the last part of the answer came, seconds.
    """

    kind: str
    workspace: str
    sent: float
    host: str
    prompt: str = ""
    count: int = 0
    order: str = ""
    ended: float = 0.0
    status: int = 0
    request_id: str = ""
    execution: str = ""
    problem: str = ""
    text: str = ""
    whole: bool = False
    tokens: int = 0
    last_token: float = 0.0


class Load:
    """Run caller threads until it is stopped.

    Parameters
    ----------
    hosts : list of HostProcess
        Hosts behind the balancer; callers go to those that are ready.
    seed : int
        Seed of all choices.
    callers : int
        Threads that send one request after the other.
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
        self._ready: list[HostProcess] = []
        self.outcomes: list[Outcome] = []

    def start(self) -> "Load":
        """Start the callers and the balancer's readiness checks."""
        self._check_ready()
        balancer = threading.Thread(target=self._balance, daemon=True)
        balancer.start()
        for number in range(self._callers):
            rng = random.Random(f"{self._seed}-{number}")
            thread = threading.Thread(target=self._run, args=(rng,), daemon=True)
            thread.start()
            self._threads.append(thread)
        return self

    def stop(self) -> None:
        """Stop sending and wait for the answers that are under way."""
        self._stop.set()
        for thread in self._threads:
            thread.join(_TIMEOUT_S + 5.0)

    def _balance(self) -> None:
        while not self._stop.is_set():
            self._check_ready()
            self._stop.wait(0.25)

    def _check_ready(self) -> None:
        self._ready = [host for host in self._hosts if host.is_ready()]

    def _run(self, rng: random.Random) -> None:
        while not self._stop.is_set():
            ready = self._ready
            if not ready:
                self._stop.wait(0.1)
                continue
            outcome = self._call(rng, rng.choice(ready))
            outcome.ended = time.monotonic()
            with self._lock:
                self.outcomes.append(outcome)
            self._stop.wait(rng.expovariate(1.0 / self._pause_s))

    def _call(self, rng: random.Random, host: HostProcess) -> Outcome:
        kind = rng.choices(("completion", "order", "stock"), (6, 2, 2))[0]
        now = time.monotonic()
        if kind == "completion":
            workspace = rng.choice(_WORKSPACES)
            prompt = f"hide {rng.getrandbits(60)} " * rng.choice((2, 20, 200))
            outcome = Outcome(kind, workspace, now, host.host.name, prompt)
            outcome.count = rng.choice((5, 20, 60))
            self._complete(outcome, host)
            return outcome
        outcome = Outcome(kind, "dhol-makers", now, host.host.name)
        if kind == "order":
            outcome.order = str(uuid.UUID(int=rng.getrandbits(128)))
            self._order(outcome, host, rng)
            return outcome
        self._send(outcome, host, "GET", "/stock/hide", b"", {})
        return outcome

    def _complete(self, outcome: Outcome, host: HostProcess) -> None:
        body = {
            "model": "assessor",
            "prompt": outcome.prompt,
            "max_tokens": outcome.count,
            "stream": True,
        }
        data = self._send(
            outcome, host, "POST", "/v1/completions", json.dumps(body).encode(), {}
        )
        texts = []
        for line in data.split(b"\n"):
            if line == b"data: [DONE]":
                outcome.whole = True
            if not line.startswith(b"data: {"):
                continue
            event = json.loads(line[6:])
            if "error" in event:
                outcome.problem = event["error"]["type"]
                outcome.execution = event["error"]["execution"]
                continue
            texts.append(event["choices"][0]["text"])
        outcome.tokens = sum(1 for text in texts if text)
        outcome.text = "".join(texts)

    def _order(self, outcome: Outcome, host: HostProcess, rng: random.Random) -> None:
        body = json.dumps({"order": outcome.order}).encode()
        headers = {}
        if rng.random() < 0.7:
            headers["Idempotency-Key"] = outcome.order
        self._send(outcome, host, "POST", "/orders", body, headers)
        if headers and rng.random() < 0.3:
            again = rng.choice(self._ready or [host])
            repeat = Outcome(
                "order", outcome.workspace, time.monotonic(), again.host.name
            )
            repeat.order = outcome.order
            self._send(repeat, again, "POST", "/orders", body, headers)
            repeat.ended = time.monotonic()
            with self._lock:
                self.outcomes.append(repeat)

    def _send(self, outcome, host, method, path, body, headers) -> bytes:
        headers = {"Authorization": f"Bearer {demo_key(outcome.workspace)}", **headers}
        try:
            answer = urllib3.request(
                method,
                f"http://{host.host.caller_address}{path}",
                body=body or None,
                headers=headers,
                timeout=_TIMEOUT_S,
                retries=False,
                preload_content=False,
            )
            outcome.status = answer.status
            outcome.request_id = answer.headers.get("X-Request-Id", "")
            data = _read(answer, outcome)
        except (urllib3.exceptions.HTTPError, OSError):
            return b""
        if answer.headers.get("Content-Type") == "application/problem+json":
            problem = json.loads(data)
            outcome.problem = problem["type"]
            outcome.execution = problem["execution"]
            return b""
        if outcome.kind != "completion":
            outcome.whole = True
            outcome.text = data.decode()
        return data


def _read(answer, outcome: Outcome) -> bytes:
    """Read an answer and keep what came before a break."""
    parts = []
    with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
        for part in answer.stream(8_192):
            parts.append(part)
            outcome.last_token = time.monotonic()
    return b"".join(parts)
