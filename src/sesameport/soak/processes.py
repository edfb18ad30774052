"""Start, pause, kill and monitor ``sesameport serve`` processes."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import attrs
import urllib3

from sesameport.domain import Host

__all__ = ["HostProcess", "free_address", "write_settings"]

_READY_TIMEOUT_S = 20.0
_HTTP = urllib3.PoolManager(maxsize=16, retries=False)


def free_address() -> str:
    """Return a loopback address with a port that is free at the time of the call."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def write_settings(
    folder: pathlib.Path, host: Host, status_address: str, deployment, **tables
):
    """Write the settings file of a host and return its path.

    ``tables`` holds additional TOML tables by name. Each is a dict of strings, numbers,
    booleans and lists.
    """
    lines = ["data_centres = ["]
    for centre in deployment.data_centres:
        lines.append(f'  {{name = "{centre}", region = "{deployment.region}"}},')
    lines += ["]", "[host]", f'name = "{host.name}"']
    lines += [
        f'data_centre = "{host.data_centre}"',
        f'listen = "{host.caller_address}"',
    ]
    lines += [
        f'peer_listen = "{host.peer_address}"',
        f'status_listen = "{status_address}"',
    ]
    lines += [
        "[platform]",
        f'url = "{deployment.platform_urls[host.data_centre]}"',
        "watch_s = 5.0",
    ]
    for name, table in tables.items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {_format_toml(value)}" for key, value in table.items()]
    path = folder / f"{host.name}.toml"
    path.write_text("\n".join(lines) + "\n")
    return path


def _format_toml(value) -> str:
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(_format_toml(item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value).lower()


@attrs.define
class HostProcess:
    """Represent one ``serve`` process and its addresses."""

    host: Host
    status_address: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen | None = None
    paused: bool = False
    start_count: int = 0

    def start(self) -> None:
        """Start the process and append its output to the log file."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "sesameport", "serve", str(self.settings)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            )
        self.start_count += 1
        self.paused = False

    def is_ready(self) -> bool:
        """Return whether the host reports that it is ready."""
        if self.process is None or self.process.poll() is not None or self.paused:
            return False
        try:
            url = f"http://{self.status_address}/ready"
            return _HTTP.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_ready(self) -> None:
        """Wait until the host is ready, or raise TimeoutError after 20 s."""
        end = time.monotonic() + _READY_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > end:
                raise TimeoutError(f"{self.host.name} is not ready; see {self.log}")
            time.sleep(0.05)

    def status(self) -> dict:
        """Return the status of the host, or an empty dict if it does not respond."""
        try:
            url = f"http://{self.status_address}/status"
            return _HTTP.request("GET", url, timeout=2.0).json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return {}

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.paused = True
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.process.send_signal(signal.SIGCONT)
        self.paused = False

    def terminate(self) -> None:
        """Send SIGTERM, on which the process drains and exits."""
        self.process.send_signal(signal.SIGTERM)

    def memory_bytes(self) -> int:
        """Return the resident memory of the process, bytes."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        return int(stat.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def cpu_s(self) -> float:
        """Return the CPU time of the process, seconds."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def list_child_pids(self) -> list[int]:
        """Return the process ids of the child processes."""
        pids = []
        for task in pathlib.Path(f"/proc/{self.process.pid}/task").iterdir():
            pids += [int(pid) for pid in (task / "children").read_text().split()]
        return pids
