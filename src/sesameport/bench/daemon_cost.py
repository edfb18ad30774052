"""Measure the latency and resource use that one daemon adds.

Run ``python -m sesameport.bench.daemon_cost``. The stand-ins, the daemon and the
callers run in three processes. For comparison, direct calls run the same prefill and
decode on the same engines without the daemon, in the same run.
"""

import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Annotated

import attrs
import cappa
import urllib3

from sesameport.domain import Host
from sesameport.soak.processes import HostProcess, free_address, write_settings
from sesameport.standins import demo_key

__all__ = ["CostReport", "measure_cost"]

_DATA_CENTRE = "rajkot-a"


@attrs.frozen
class _Deployment:
    platform_urls: dict[str, str]
    region: str = "guj-west"
    data_centres: tuple[str, ...] = (_DATA_CENTRE,)


@attrs.frozen
class CostReport:
    """Represent the result of a measurement; the units are in the names."""

    direct_median_ms: float
    direct_p99_ms: float
    daemon_median_ms: float
    daemon_p99_ms: float
    requests_per_s: float
    cpu_ms_per_request: float
    memory_at_rest_mb: float
    memory_after_mb: float
    idle_cpu_share: float
    threads_at_rest: int
    start_s: float


def measure_cost(
    requests: int = 400, concurrency: int = 8, tokens: int = 5
) -> CostReport:
    """Return the costs of one daemon, with direct calls for comparison."""
    command = [sys.executable, "-m", "sesameport.standins"]
    command += ["--data-centres", _DATA_CENTRE, "--token-interval-s", "0.002"]
    standins = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        addresses = json.loads(standins.stdout.readline())
        with tempfile.TemporaryDirectory() as directory:
            directory = pathlib.Path(directory)
            return _measure(addresses, directory, requests, concurrency, tokens)
    finally:
        standins.kill()
        standins.wait()


def _measure(addresses, directory, requests, concurrency, tokens) -> CostReport:
    host = Host("rajkot-a-1", _DATA_CENTRE, free_address(), free_address())
    status = free_address()
    path = write_settings(
        directory, host, status, _Deployment({_DATA_CENTRE: addresses["platform"]})
    )
    daemon = HostProcess(host, status, path, directory / "host.log")
    started = time.monotonic()
    daemon.start()
    try:
        daemon.wait_ready()
        start_s = time.monotonic() - started
        # The token pool of a new fleet takes several seconds to fill.
        time.sleep(15.0)
        rest_mb = daemon.memory_bytes() / 1e6
        threads = len(list(pathlib.Path(f"/proc/{daemon.process.pid}/task").iterdir()))
        idle = _measure_idle_cpu_share(daemon)
        http = urllib3.PoolManager(maxsize=concurrency, retries=False)
        direct = _time_calls(
            lambda i: _call_engines(http, addresses, i, tokens), requests, 1
        )
        routed = _time_calls(lambda i: _call_daemon(http, host, i, tokens), requests, 1)
        cpu = daemon.cpu_s()
        started_at = time.monotonic()
        _time_calls(
            lambda i: _call_daemon(http, host, i, tokens), requests, concurrency
        )
        rate = requests / (time.monotonic() - started_at)
        cpu = (daemon.cpu_s() - cpu) / requests
        return CostReport(
            _median(direct),
            _compute_p99(direct),
            _median(routed),
            _compute_p99(routed),
            rate,
            cpu * 1e3,
            rest_mb,
            daemon.memory_bytes() / 1e6,
            idle,
            threads,
            start_s,
        )
    finally:
        daemon.kill()


def _measure_idle_cpu_share(daemon: HostProcess, seconds: float = 5.0) -> float:
    before = daemon.cpu_s()
    time.sleep(seconds)
    return (daemon.cpu_s() - before) / seconds


def _time_calls(call, requests: int, concurrency: int) -> list[float]:
    def timed(i: int) -> float:
        started_at = time.monotonic()
        call(i)
        return (time.monotonic() - started_at) * 1e3

    with concurrent.futures.ThreadPoolExecutor(concurrency) as pool:
        return list(pool.map(timed, range(requests)))


def _call_engines(http, addresses, number: int, tokens: int) -> None:
    prompt = f"Grade hide {number} " * 5
    body = {"model": "assessor", "prompt": prompt, "max_tokens": 1}
    body["kv_transfer_params"] = {"do_remote_decode": True}
    headers = {"X-Request-Id": f"direct.{number}"}
    url = f"http://{addresses['engines'][_DATA_CENTRE + '-prefill-1']}/v1/completions"
    response = http.request("POST", url, body=json.dumps(body), headers=headers)
    body["kv_transfer_params"] = response.json()["kv_transfer_params"]
    body["max_tokens"] = tokens
    url = f"http://{addresses['engines'][_DATA_CENTRE + '-decode-1']}/v1/completions"
    response = http.request("POST", url, body=json.dumps(body), headers=headers)
    assert response.status == 200, response.data


def _call_daemon(http, host: Host, number: int, tokens: int) -> None:
    body = {
        "model": "assessor",
        "prompt": f"Grade hide {number} " * 5,
        "max_tokens": tokens,
        "stream": True,
    }
    response = http.request(
        "POST",
        f"http://{host.caller_address}/v1/completions",
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {demo_key('tannery-north')}"},
    )
    assert response.status == 200, response.data


def _median(values: list[float]) -> float:
    return statistics.median(values)


def _compute_p99(values: list[float]) -> float:
    return statistics.quantiles(values, n=100)[98]


@cappa.command(name="daemon-cost")
@attrs.frozen
class DaemonCost:
    """Measure the latency, throughput, processor time and memory of one daemon."""

    requests: Annotated[int, cappa.Arg(long=True)] = 400
    concurrency: Annotated[int, cappa.Arg(long=True)] = 8
    tokens: Annotated[int, cappa.Arg(long=True, help="Output tokens")] = 5

    def __call__(self) -> int:
        """Run the measurement and print one value per line."""
        report = measure_cost(self.requests, self.concurrency, self.tokens)
        for field in attrs.fields(CostReport):
            print(f"{field.name:20} {getattr(report, field.name):.3f}")
        return 0


if __name__ == "__main__":
    raise SystemExit(cappa.invoke(DaemonCost))
