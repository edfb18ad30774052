"""Start entry hosts as the deploy file says, and send requests to them."""

import contextlib
import http.client
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
KEY = "key-of-the-desk"
HOST = "desk.example"
PLACES = {"rajkot-a": "guj-west", "jamnagar-b": "guj-west", "bhuj-c": "guj-west"}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

MAX_FDS = 4_100

SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "guj-west"
internalPorts = [{peer}, {peer_end}]
seeds = [{seeds}]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream",\
"engine","tenants","quota","platform"]
[zones]
rajkot-a = "guj-west"
jamnagar-b = "guj-west"
bhuj-c = "guj-west"
[listen]
front = "{ip}:{front}"
readyAddress = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory_mb}
maxFds = {max_fds}
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
revokeStrict = false
revokeMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 58
quotaWindowS = 8
quotaOvershoot = 0.1
quotaSlack = 190000
recoveryS = 12
transitMs = 120
retryAfterS = 7.2
fencingRequired = true
leaseMs = 3000
thawMs = 300
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""


class Record:
    """Write what was sent, answered and run to ``record.txt``; thread-safe."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def __call__(self, *fields):
        line = f"{time.monotonic() - self._start:8.3f} " + " ".join(map(str, fields))
        with self._lock:
            if not self._file.closed:
                self._file.write(line + "\n")
                self._file.flush()

    def say(self, *fields):
        """Write a line to the record and to standard output."""
        self(*fields)
        print(*fields, flush=True)


def configuration(version, routes=(), **limits):
    """Return a configuration with a plain service and a model service."""

    def route(name, kind, service, **fields):
        return {
            "name": f"r-{name}",
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 4_000,
            "targetLatencyMs": 900,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "anonymous": False,
            "resumable": False,
            **fields,
        }

    engine = {
        "slots": 24,
        "kvCapacityTokens": 37_563,
        "kvTokenBytes": 163_840,
        "linkMbps": 1_300_000.0,
        "kvRetentionS": 0.5,
        "switchS": 6.0,
        "models": [{"name": "m"}],
    }
    stream = {"timeoutMs": 14_000, "sticky": True, "targetGapMs": 300}
    health = {"healthPath": "/health", "protocol": "h1", "tls": False}
    return {
        "version": version,
        "routes": [
            route("look", "safe", "desk"),
            route("book", "unsafe", "desk", maxAttempts=1),
            route("grade", "streaming", "llm", maxAttempts=1, **stream),
            *routes,
        ],
        "services": [
            {"name": "desk", "maxConnections": 110, **health},
            {"name": "llm", "maxConnections": 210, "engine": engine, **health},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            **limits,
        },
        "tenants": [
            {
                "name": "maker",
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "token_accounting",
                "plainTokens": 200,
                "ratePerS": 0,
                "burst": 0,
            }
        ],
    }


class Machine:
    """One entry host: its settings, its process and its addresses."""

    def __init__(self, fleet, number, zone, memory_mb):
        self.fleet, self.number, self.zone = fleet, number, zone
        self.name = f"edge-{zone}-{number}"
        self.ip = fleet.ip(number)
        self.front = (self.ip, fleet.ports[0])
        self.ready = (self.ip, fleet.ports[1])
        self.process = None
        self.memory_mb = memory_mb
        self.settings = fleet.folder / f"{self.name}.toml"

    def start(self):
        """Start the process as the deploy file says."""
        front, ready, control, peer = self.fleet.ports
        seeds = ", ".join(f'"{self.fleet.ip(n)}:{control}"' for n in (1, 2, 3))
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                peer=peer,
                peer_end=peer + 15,
                seeds=seeds,
                front=front,
                ready=ready,
                control=control,
                memory_mb=self.memory_mb,
                max_fds=MAX_FDS,
                store=self.fleet.store_address,
            )
        )
        run = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = run["roles"]["entry"]["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["SESAMEPORT_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            preexec_fn=_limit_descriptors,
        )
        log.close()
        self.fleet.started.append(self.process)
        self.fleet.note("start", self.name, self.ip, "process", self.process.pid)

    def signal(self, number):
        """Send a signal to the process."""
        self.fleet.note("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def is_ready(self, timeout_s=1.0):
        """Ask as the platform does whether the machine is ready."""
        conn = http.client.HTTPConnection(*self.ready, timeout=timeout_s)
        try:
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def private_mib(self):
        """Return the memory of the process without files, MiB; 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def log(self):
        """Return the log lines so far."""
        return (self.fleet.folder / f"{self.name}.log").read_text(errors="replace")

    def send(self, path, request_id, timeout_s=4.0, method="GET", body=b"", **headers):
        """Send a request on a connection of its own; return status, headers, body.

        The status is 0 if there was no whole answer.
        """
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
            "X-Key": KEY,
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        note = self.fleet.note
        note("send", self.name, request_id, method, path)
        conn = http.client.HTTPConnection(*self.front, timeout=timeout_s)
        status, answer, data, why = 0, {}, b"", ""
        try:
            conn.request(method, path, body or None, fields)
            response = conn.getresponse()
            answer = {name.lower(): value for name, value in response.getheaders()}
            data = response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as exc:
            why = repr(exc)
        finally:
            conn.close()
        note("answer", self.name, request_id, status, len(data), why, answer)
        return status, answer, data


def _limit_descriptors():
    """Give a process the descriptors that its settings state."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, MAX_FDS), hard))


class Fleet:
    """Hold the machines of one case, and end all that was started."""

    def __init__(self, folder, store_address, note):
        self.folder, self.store_address, self.note = folder, store_address, note
        self.started, self.machines, self._added = [], [], 0
        pid = os.getpid()
        self._net = f"127.{40 + pid % 200}.{1 + pid // 200 % 250}"
        self.ports = self._free_ports()

    def ip(self, number):
        """Return the address of a machine."""
        return f"{self._net}.{number}"

    def _free_ports(self):
        """Return free ports for callers, readiness, control and peers."""
        found = []
        with contextlib.ExitStack() as stack:
            for _ in range(3):
                sock = stack.enter_context(socket.socket())
                sock.bind((self.ip(1), 0))
                found.append(sock.getsockname()[1])
        for base in range(21_000, 31_000, 40):
            if not any(base <= port < base + 16 for port in found):
                with socket.socket() as sock, contextlib.suppress(OSError):
                    sock.bind((self.ip(1), base))
                    return (*found, base)
        raise RuntimeError("no free ports")

    def add(self, zone, memory_mb=150):
        """Start a machine and return it."""
        self._added += 1
        machine = Machine(self, self._added, zone, memory_mb)
        self.machines.append(machine)
        machine.start()
        return machine

    def wait_ready(self, timeout_s=30.0):
        """Wait until all machines are ready; return whether they are."""
        return wait_for(
            lambda: all(machine.is_ready() for machine in self.machines), timeout_s
        )

    def start_crowd(self, machine, kind, size, head_bytes, stay_s):
        """Start a process that plays a crowd of clients at a machine."""
        script = pathlib.Path(__file__).parent / "crowd.py"
        words = (kind, *machine.front, size, head_bytes, stay_s)
        process = subprocess.Popen(
            [sys.executable, script, *map(str, words)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.started.append(process)
        self.note("crowd", *words, "process", process.pid)
        return process

    def end_crowd(self, process):
        """End a crowd and note its counts."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.note("crowd", process.pid, process.communicate("", timeout=5.0)[0])

    def end(self):
        """End all processes."""
        for process in self.started:
            if process.poll() is None:
                process.kill()
        for process in self.started:
            process.wait()


def wait_for(condition, timeout_s):
    """Wait until a condition holds; return whether it does."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return condition()


def run_case(play, folder):
    """Play a case in a temporary folder and exit with its verdict.

    ``play`` gets the temporary folder and the record, and returns 0, 1 or 2.
    """
    record = Record(folder)
    verdict = 2
    # run.sh ends a play that takes too long; what it started must end with it.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        temporary = pathlib.Path(temporary)
        try:
            verdict = play(temporary, record)
        except Exception as exc:
            record.say("the case could not run:", repr(exc))
            import traceback

            record(traceback.format_exc())
        for log in sorted(temporary.glob("*.log")):
            record("log of", log.name)
            record(log.read_text(errors="replace")[-60_000:])
    record.say("verdict", verdict, "(1 broken, 0 held, 2 could not run)")
    sys.exit(verdict)
