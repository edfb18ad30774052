"""Stand-ins of the platform's store, of replicas and of clients for review scripts.

They speak what PROTOCOL.md describes, over HTTP/1.1 on loopback addresses, and do only
what the page allows. All times in records are seconds since the start of the script.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROUTE_HOST = "ficu95.example"
MACHINE_PORTS = (8360, 8365, 8367, 7500, 9464)
LONGEST_RUN_S = 115.0
STARTED_AT = time.monotonic()


def now_s() -> float:
    """Return the time since the start of the script, seconds."""
    return time.monotonic() - STARTED_AT


class Record:
    """Write what happens to a file, one line an event, in the order of the calls."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write one event with its time."""
        with self._lock:
            self._file.write(f"{now_s():8.3f} s  {text}\n")
            self._file.flush()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore connections that their peers have closed."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = 0

    def log_message(self, *args):
        """Write no access log."""

    def _dispatch(self):
        length = int(self.headers.get("Content-Length") or 0)
        self.server.standin.handle(self, self.rfile.read(length) if length else b"")

    do_GET = do_POST = do_PUT = do_DELETE = _dispatch

    def reply(self, status, body=b"", headers=()):
        """Send a response; a body that is not bytes is sent as JSON."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def has_left(self) -> bool:
        """Return whether the caller has closed the connection."""
        self.connection.setblocking(False)
        try:
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.connection.setblocking(True)


class Standin:
    """Serve HTTP on a free port of 127.0.0.1."""

    def __init__(self):
        self._server = _Server(("127.0.0.1", 0), _Handler)
        self._server.standin = self
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def handle(self, handler, body: bytes) -> None:
        """Handle one request."""
        raise NotImplementedError


class Store(Standin):
    """The platform's metadata store: objects, lists, watches, conditional writes."""

    def __init__(self):
        self._changed = threading.Condition()
        self._objects = {}
        self._history = []
        self._revision = 100
        super().__init__()

    def put(self, kind: str, name: str, spec) -> None:
        """Write an object for the operator or a replica."""
        with self._changed:
            self._write(kind, name, spec)

    def _write(self, kind, name, spec):
        self._revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": 1,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind, name] = stored
        self._history.append(
            (self._revision, kind, {"deleted": False, "object": stored})
        )
        self._changed.notify_all()
        return stored

    def _delete(self, kind, name):
        stored = self._objects.pop((kind, name))
        self._revision += 1
        self._history.append(
            (self._revision, kind, {"deleted": True, "object": stored})
        )
        self._changed.notify_all()

    def handle(self, handler, body):
        """Handle one call."""
        path, _, text = handler.path.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if part)
        parts = path.removeprefix("/v1/objects/").split("/")
        if "watch" in query:
            handler.reply(*self._watch(parts[0], query))
            return
        data = json.loads(body) if body else {}
        with self._changed:
            answer = self._call(handler.command, parts, query, data)
        handler.reply(*answer)

    def _call(self, method, parts, query, data):
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and not name:
            names = sorted(n for k, n in self._objects if k == kind)
            names = [n for n in names if n > query.get("after", "")]
            items = [self._objects[kind, n] for n in names[:500]]
            return 200, {
                "items": items,
                "hasMore": len(names) > 500,
                "at": self._revision,
            }
        stored = self._objects.get((kind, name))
        if method == "GET":
            return (200, stored) if stored else (404, {})
        if method == "POST":
            name = data["metadata"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 200, self._write(kind, name, data["spec"])
        if stored is None:
            return 404, {}
        wanted = data.get("metadata", {}).get("revision") or query.get("revision")
        if wanted and int(wanted) != stored["metadata"]["revision"]:
            return 409, stored
        if method == "DELETE":
            self._delete(kind, name)
            return 200, stored
        if stored["spec"] == data["spec"]:
            return 200, stored
        return 200, self._write(kind, name, data["spec"])

    def _watch(self, kind, query):
        since, until = (
            int(query["watch"]),
            time.monotonic() + int(query["waitMs"]) / 1e3,
        )
        with self._changed:
            while True:
                events = [e for at, k, e in self._history if at > since and k == kind]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "at": self._revision}
                self._changed.wait(left_s)


class Replica(Standin):
    """One replica: of a plain service without a stage, else a model replica.

    Parameters
    ----------
    record : Record
        Gets a line for each request that runs, and for its end.
    name, service, stage : str
        Id, service and stage ("", "prefill" or "decode").
    slots : int
        Requests at once; a further one is answered 503 with X-Not-Executed.
    work_s : float
        Time that a plain request takes.
    events, gap_s : int, float
        Events of a stream and the time between them.
    """

    def __init__(
        self,
        record,
        name,
        service,
        stage="",
        slots=6,
        work_s=0.02,
        events=71,
        gap_s=0.05,
    ):
        self.name, self.service, self.stage, self.slots = name, service, stage, slots
        self.work_s, self.events, self.gap_s = work_s, events, gap_s
        self.runs = []
        self._record = record
        self._lock = threading.Lock()
        self._running = 0
        self._handles = 0
        super().__init__()

    def entry(self) -> dict:
        """Return the replica's entry in the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "svealand-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_760_000_000_000,
        }
        if self.stage:
            entry |= {"stage": self.stage, "models": [{"name": "m", "version": 1}]}
        return entry

    def handle(self, handler, body):
        """Handle one request."""
        path, headers = handler.path, handler.headers
        if path == "/health":
            handler.reply(200, b"", [("X-Instance-Id", self.name)])
            return
        if path == "/v1/report":
            handler.reply(200, self._report())
            return
        if headers.get("X-Expect-Instance", self.name) != self.name:
            handler.reply(421, b"", [("X-Not-Executed", "1")])
            return
        if path == "/v1/hold-take":
            handler.reply(503, {})
            return
        if path == "/v1/order":
            handler.reply(409, {})
            return
        if path.startswith("/v1/kv-handle/"):
            handler.reply(200, {})
            return
        request_id = headers.get("X-Request-Id", "")
        if not request_id:
            handler.reply(400, b"", [("X-Not-Executed", "1")])
            return
        if headers.get("X-Stage") == "prefill":
            self._prefill(handler)
            return
        if self.stage == "prefill":
            handler.reply(421, b"", [("X-Not-Executed", "1")])
            return
        with self._lock:
            is_full = self._running >= self.slots
            self._running += not is_full
        if is_full:
            handler.reply(503, b"", [("X-Not-Executed", "1")])
            return
        self.runs.append(request_id)
        self._record.write(f"{self.name} begins to run {request_id}")
        try:
            end = self._run(handler, request_id)
        except OSError:
            end = "caller left"
        finally:
            with self._lock:
                self._running -= 1
        self._record.write(f"{self.name} ends {request_id}: {end}")

    def _report(self):
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "queuedRequests": 0,
            "runningRequests": self._running,
            "kvUsed": 0,
            "kvTotal": 36_778,
            "kvHandles": 0,
        }

    def _prefill(self, handler):
        if self.stage != "prefill":
            handler.reply(421, b"", [("X-Not-Executed", "1")])
            return
        tokens = int(handler.headers["X-Token-Count"].partition(",")[0])
        time.sleep(min(tokens, 40_000) / 33_333)
        with self._lock:
            self._handles += 1
            handle = f"{self.name}-{self._handles}"
        request_id = [("X-Request-Id", handler.headers["X-Request-Id"])]
        answer = {"kvHandle": handle, "tokens": tokens, "version": 1}
        handler.reply(200, answer, request_id)

    def _run(self, handler, request_id) -> str:
        left_s = float(handler.headers.get("X-Deadline-Ms", "30000")) / 1e3
        until = time.monotonic() + left_s
        seal = [("X-Request-Id", request_id), ("X-Response-Seal", f"seal.{request_id}")]
        if not self.stage:
            time.sleep(self.work_s)
            if handler.has_left():
                return "caller left"
            handler.reply(200, f"answer to {request_id}".encode(), seal)
            return "answered 200"
        handler.send_response(200)
        for name, value in (*seal, ("Content-Type", "text/event-stream")):
            handler.send_header(name, value)
        handler.send_header("X-Weight-Versions", "1")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.events + 1):
            if time.monotonic() > until:
                handler.close_connection = True
                return "deadline passed"
            if handler.has_left():
                return "caller left"
            event = f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(self.gap_s)
        handler.wfile.write(b"0\r\n\r\n")
        return f"streamed {self.events} events"


def _free_ip() -> str:
    """Return a loopback address on which the ports of a machine are free."""
    for _ in range(50):
        ip = ".".join(["127", *(str(random.randint(10, 250)) for _ in "abc")])
        try:
            for port in MACHINE_PORTS:
                with socket.socket() as sock:
                    sock.bind((ip, port))
            return ip
        except OSError:
            continue
    raise CannotRun("no loopback address with free ports")


class Machine:
    """One machine that runs the system's process with the command of the deploy file.

    Parameters
    ----------
    record : Record
        Gets a line for each start and end.
    store : str
        Address of the store.
    name : str
        Name of the machine.
    memory_mb : int
        Memory of the machine, MB.
    """

    def __init__(self, record, store: str, name: str, memory_mb: int = 300):
        self._record, self._store, self.name = record, store, name
        self.memory_mb = memory_mb
        self.ip = _free_ip()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.front, self.ready = f"{self.ip}:8360", f"{self.ip}:8365"
        self.process = None

    def write_settings(self) -> pathlib.Path:
        """Write the settings file, with the bounds of the small deployments."""
        path = self.folder / "node.toml"
        path.write_text(
            f"""
nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{self.ip}"
zone = "svealand-a"
region = "svealand"
internalPorts = [7500, 7515]
seeds = ["{self.ip}:8367"]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[zones]
svealand-a = "svealand"
[listen]
front = "{self.front}"
readyAddress = "{self.ready}"
control = "{self.ip}:8367"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {self.memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 58
quotaWindowS = 8
quotaOvershoot = 0.1
quotaSlack = 190000
leaseMs = 3000
thawMs = 300
[platform]
address = "{self._store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""
        )
        return path

    def start(self) -> None:
        """Start the process; its log goes to a file."""
        settings = self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SESAMEPORT_CONFIG": str(settings),
        }
        self.log = open(self.folder / "log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, "deploy/sesameport.py"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )
        self._record.write(f"process of {self.name} started at {self.front}")

    def is_ready(self) -> bool:
        """Ask like the platform's balancer."""
        try:
            url = f"http://{self.ready}/v1/ready"
            return urllib.request.urlopen(url, timeout=1.0).status == 200
        except OSError:
            return False

    def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the machine is ready; else the case can't run."""
        until = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRun(f"{self.name} did not become ready")
            time.sleep(0.1)
        self._record.write(f"{self.name} is ready")

    def private_mb(self) -> float:
        """Return the memory that only the process uses, MiB; 0 if it has ended."""
        try:
            lines = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in lines.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Helper:
    """A further process of a case, which is ended with it."""

    def __init__(self, arguments):
        self.process = subprocess.Popen(arguments)

    def stop(self) -> None:
        """End the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """Raised where a case could not be set up."""


class Answer:
    """What a client got: status, headers, body, whether it is complete, and when."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.is_complete, self.error = False, ""
        self.sent_at = self.ended_at = 0.0

    def text(self) -> str:
        """Return the answer as a part of a line."""
        if not self.status:
            return f"no answer, connection ended ({self.error})"
        end = "complete" if self.is_complete else f"cut off ({self.error})"
        return f"{self.status}, {len(self.body)} bytes, {end}"


class Connection:
    """A client's kept connection to a machine."""

    def __init__(self, record, address: str, timeout_s: float = 20.0):
        self._record = record
        self._conn = http.client.HTTPConnection(address, timeout=timeout_s)

    def send(self, method, path, request_id, key, deadline_ms, body=b"", **headers):
        """Send one request, wait for the end of its answer and return it."""
        fields = {
            "Host": ROUTE_HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Key": key,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        answer = Answer()
        answer.sent_at = now_s()
        shown = ", ".join(
            f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
        )
        self._record.write(f"client sends {request_id}: {method} {path} {shown}")
        try:
            self._conn.request(method, path, body or None, fields)
            response = self._conn.getresponse()
            answer.status = response.status
            answer.headers = {n.lower(): v for n, v in response.getheaders()}
            answer.body = response.read()
            answer.is_complete = True
        except (http.client.HTTPException, OSError) as exc:
            answer.body = getattr(exc, "partial", b"")
            answer.error = repr(exc)[:80]
        if answer.status != 200 or not answer.is_complete:
            # Like the platform's clients, go on with a new connection.
            self._conn.close()
        answer.ended_at = now_s()
        self._record.write(f"client gets for {request_id}: {answer.text()}")
        return answer


def route(name, kind, service, **fields) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": ROUTE_HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2_500,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "sticky": kind == "streaming",
        "resumable": False,
        **fields,
    }


def configuration(routes, tenants, **engine) -> dict:
    """Return a configuration with one model service and one plain service.

    ``engine`` replaces properties of the model replicas.
    """
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {
                "name": "draft-llm",
                "healthPath": "/health",
                "maxConnections": 250,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 32,
                    "kvCapacityTokens": 36_778,
                    "kvTokenBytes": 163_840,
                    "linkMbps": 1_400_000.0,
                    "kvRetentionS": 0.5,
                    "switchS": 6.0,
                    "models": [{"name": "m"}],
                    **engine,
                },
            },
            {"name": "order-desk", "healthPath": "/health", "maxConnections": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": tenants,
    }


def tenant(name, key) -> dict:
    """Return a tenant with the rate and burst of the small deployments."""
    return {
        "name": name,
        "apiKeys": [key],
        "priority": 1,
        "unit": "token_accounting",
        "plainTokens": 200,
        "ratePerS": 47_000,
        "burst": 47_000,
    }


def start_system(
    record, routes, tenants, replicas, machines=1, memory_mb=300, **engine
):
    """Start the store with the configuration and the entries of the replicas.

    Return the machines, whose processes are not started yet.
    """
    if not (ROOT / "target" / "deps").is_dir():
        raise CannotRun("target/deps is missing: run the build line of the deploy file")
    store = Store()
    store.put("config", "main", configuration(routes, tenants, **engine))
    for replica in replicas:
        store.put("servers", replica.name, replica.entry())
    return [
        Machine(record, store.address, f"edge-svealand-a-{number}", memory_mb)
        for number in range(1, machines + 1)
    ]


def run_case(case, folder) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    ``case`` gets the record, whether there is trouble, and a list for the machines and
    helpers that are ended afterwards; it returns what broke the rule, or "".
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'yes' if has_trouble else 'no'}")
    machines = []

    def give_up(reason):
        record.write(f"can't run: {reason}")
        for machine in list(machines):
            machine.stop()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, frame: give_up("ended by a signal"))
    watchdog = threading.Timer(LONGEST_RUN_S, give_up, ["it took too long"])
    watchdog.daemon = True
    watchdog.start()
    try:
        broken = case(record, has_trouble, machines)
        code = 1 if broken else 0
        record.write(f"rule broken: {broken}" if broken else "the rule held")
    except CannotRun as exc:
        code = 2
        record.write(f"can't run: {exc}")
    except Exception as exc:
        code = 2
        record.write(f"can't run: {exc!r}")
    finally:
        for machine in machines:
            machine.stop()
    print(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
