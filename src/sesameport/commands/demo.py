"""Run requests through simulated servers and real hosts over loopback."""

import json
import time
from typing import Annotated

import attrs
import cappa
import urllib3

__all__ = ["Demo", "run_demo"]

_PROMPT_TEXT = (
    "Hide 4412, buck, Bhavnagar market. Grain tight, two tick marks near the neck. "
)

_MAX_ADMISSION_ATTEMPTS = 10
_RESPONSE_TIMEOUT_S = 60.0


def _demo(command: "Demo") -> int:
    return run_demo(command.stay)


@cappa.command(name="demo", invoke=_demo)
@attrs.frozen
class Demo:
    """Run a simulated platform, engines and plain service with three hosts.

    A completion and an order are sent through a host, and each step is printed.
    """

    stay: Annotated[
        bool, cappa.Arg(long="--stay", help="Keep running and print addresses and keys")
    ] = False


def run_demo(stay: bool = False) -> int:
    """Start the deployment, send a completion and an order, and print the results."""
    from sesameport.daemon.demo_hosts import start_hosts, stop_hosts
    from sesameport.standins import build_deployment, demo_key

    deployment = build_deployment()
    daemons = start_hosts(deployment)
    try:
        address = daemons[0].http.address
        print(f"platform   {deployment.url}")
        for daemon in daemons:
            print(f"host       {daemon.cfg.host.name} on {daemon.http.address}")
        _send_completion(daemons[0], address, demo_key("tannery-north"))
        _send_orders(address, demo_key("dhol-makers"))
        if stay:
            _print_keys_and_wait(daemons, demo_key)
    finally:
        stop_hosts(daemons)
        deployment.stop()
    return 0


def _post_until_admitted(address: str, body: dict, key: str):
    """Send a completion, and retry it while the rate limit of the workspace refuses it.

    The token buckets of a new fleet are empty, so the first request may be refused.
    """
    for _ in range(_MAX_ADMISSION_ATTEMPTS):
        response = urllib3.request(
            "POST",
            f"http://{address}/v1/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {key}"},
            preload_content=False,
            retries=False,
            timeout=_RESPONSE_TIMEOUT_S,
        )
        if response.status != 429:
            return response
        print(f"completion status 429, retry after {response.headers['Retry-After']} s")
        time.sleep(float(response.headers["Retry-After"]))
    return response


def _send_completion(daemon, address: str, key: str) -> None:
    body = {
        "model": "assessor",
        "prompt": _PROMPT_TEXT * 400,
        "max_tokens": 40,
        "stream": True,
    }
    started = time.monotonic()
    response = _post_until_admitted(address, body, key)
    times, texts = [], []
    for line in response:
        if not line.startswith(b"data: {"):
            continue
        times.append(time.monotonic())
        texts.append(json.loads(line[6:])["choices"][0]["text"])
    gaps = sorted(b - a for a, b in zip(times, times[1:], strict=False))
    request_id = response.headers["X-Request-Id"]
    print(f"completion status {response.status}, request {request_id}")
    for record in daemon.explain(request_id):
        print(f"  {record}")
    if len(gaps) < 2:
        print(f"  no answer: {''.join(texts)}")
        return
    print(f"  first token {times[0] - started:.3f} s after the first try")
    print(f"  {len(texts) - 1} tokens, median gap {gaps[len(gaps) // 2] * 1e3:.1f} ms")
    print(f"  text starts {''.join(texts)[:40]!r}")


def _send_orders(address: str, key: str) -> None:
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "lot-17-dhol"}
    url = f"http://{address}/orders"
    for label in ("order", "repeat"):
        # The second request has the same Idempotency-Key and must not book again.
        response = urllib3.request(
            "POST",
            url,
            body=b'{"lot": 17}',
            headers=headers,
            retries=False,
            timeout=_RESPONSE_TIMEOUT_S,
        )
        print(f"{label:10} status {response.status}, {response.data.decode()}")


def _print_keys_and_wait(daemons, demo_key) -> None:
    for workspace in ("tannery-north", "tannery-south", "dhol-makers"):
        print(f"key        {workspace}: {demo_key(workspace)}")
    print(
        f"try        curl -N http://{daemons[0].http.address}/v1/completions "
        f"-H 'Authorization: Bearer {demo_key('tannery-north')}' "
        '-d \'{"model": "assessor", "prompt": "Grade this hide", '
        '"max_tokens": 20, "stream": true}\''
    )
    print("Press Ctrl-C to stop.", flush=True)
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        print("stopping")
