"""Start entry hosts as the deploy file does, and send requests to them.

Each host has a loopback address of its own, so all use the ports of the platform's
settings file.
"""

import contextlib
import http.client
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import traceback
from collections.abc import Callable

import attrs

__all__ = ["Answer", "EntryProcess", "Fleet", "Record", "run_case"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, PEERS, METRICS = 8360, 8365, 8367, 7500, 9464
ZONES = ("svealand-a", "svealand-b", "svealand-c")
START_TIMEOUT_S = 20.0
MAX_RUN_S = 95
"""Time after which a case gives up, seconds; it ends its processes then."""

SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "svealand"
internalPorts = [7500, 7515]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
heartbeatMs = 1200
[zones]
svealand-a = "svealand"
svealand-b = "svealand"
svealand-c = "svealand"
[listen]
front = "{ip}:8360"
readyAddress = "{ip}:8365"
control = "{ip}:8367"
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
maxSkewMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 58
quotaWindowS = 8
quotaOvershoot = 0.1
quotaSlack = 190000
recoveryS = 12
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
"""


def run_case(main: Callable[[], int]) -> None:
    """Exit with what the case returns, and with 2 if it fails or takes too long."""
    signal.signal(signal.SIGALRM, lambda number, frame: exit(2))
    signal.alarm(MAX_RUN_S)
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    raise SystemExit(code)


class Record:
    """Write what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        with self._lock:
            print(line, file=self._file, flush=True)
            print(line, flush=True)


@attrs.frozen
class Answer:
    """Represent the answer to a client; status 0 means that there was none."""

    status: int
    headers: dict
    body: bytes
    sent_at: float


class EntryProcess:
    """Run one entry host, and restart it with the same settings."""

    def __init__(self, name: str, ip: str, settings: pathlib.Path, logs: pathlib.Path):
        self.name = name
        self.ip = ip
        self._settings = settings
        self._log = (logs / f"{name}.log").open("ab")
        self.process = None

    def start(self) -> None:
        """Start the program of the deploy file."""
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["SESAMEPORT_CONFIG"] = str(self._settings)
        self.process = subprocess.Popen(
            ["python3", "deploy/sesameport.py"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def kill(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the host answers the platform's readiness check with 200."""
        conn = http.client.HTTPConnection(self.ip, READY, timeout=1)
        try:
            conn.request("GET", "/v1/ready")
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()

    def send(self, method, target, body=b"", timeout_s=15.0, **headers) -> Answer:
        """Send one request on a new connection and return its answer."""
        sent_at = time.monotonic()
        conn = http.client.HTTPConnection(self.ip, FRONT, timeout=timeout_s)
        try:
            conn.request(method, target, body or None, headers)
            response = conn.getresponse()
            fields = {name.lower(): value for name, value in response.getheaders()}
            try:
                data = response.read()
            except (http.client.HTTPException, OSError):
                return Answer(0, fields, b"", sent_at)
            return Answer(response.status, fields, data, sent_at)
        except (http.client.HTTPException, OSError):
            return Answer(0, {}, b"", sent_at)
        finally:
            conn.close()


def _find_network(count: int) -> str:
    """Return the first three numbers of a loopback network whose ports are free."""
    rng = random.SystemRandom()
    for _ in range(50):
        prefix = f"127.{rng.randrange(10, 250)}.{rng.randrange(1, 250)}"
        with contextlib.ExitStack() as stack:
            try:
                for number in range(count):
                    for port in (FRONT, READY, CONTROL, PEERS, METRICS):
                        sock = stack.enter_context(socket.socket())
                        sock.bind((f"{prefix}.{number + 1}", port))
            except OSError:
                continue
            return prefix
    raise OSError("no loopback network with free ports")


class Fleet:
    """Run entry hosts before one store; all of them end with the context."""

    def __init__(self, store_address: str, count: int):
        self._stack = contextlib.ExitStack()
        folder = pathlib.Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        self.logs = folder
        prefix = _find_network(count)
        seeds = ", ".join(f'"{prefix}.{i + 1}:{CONTROL}"' for i in range(min(3, count)))
        self.hosts = []
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            name = f"edge-{zone}-{number // len(ZONES) + 1}"
            ip = f"{prefix}.{number + 1}"
            path = folder / f"{name}.toml"
            path.write_text(
                SETTINGS.format(
                    name=name, ip=ip, zone=zone, seeds=seeds, store=store_address
                )
            )
            self.hosts.append(EntryProcess(name, ip, path, folder))

    def __enter__(self) -> "Fleet":
        # A script that is ended from outside must end its processes too.
        signal.signal(signal.SIGTERM, lambda number, frame: exit(2))
        return self

    def __exit__(self, *details) -> None:
        for host in self.hosts:
            host.kill()
        self._stack.close()

    def start(self) -> None:
        """Start all hosts and wait until they are ready."""
        for host in self.hosts:
            host.start()
        self.wait_ready()

    def log_lines(self, event: str) -> list[str]:
        """Return the log lines of all hosts that contain a text."""
        return [
            f"{path.stem}: {line[:400]}"
            for path in sorted(self.logs.glob("*.log"))
            for line in path.read_text().splitlines()
            if event in line
        ]

    def wait_ready(self) -> None:
        """Wait until all hosts are ready; exit with 2 if they are not in time."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for host in self.hosts:
            while not host.is_ready():
                if host.process.poll() is not None or time.monotonic() > deadline:
                    print(f"{host.name} is not ready; its log:")
                    print((self.logs / f"{host.name}.log").read_text()[-3000:])
                    raise SystemExit(2)
                time.sleep(0.05)
