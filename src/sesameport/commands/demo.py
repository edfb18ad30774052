"""Run the whole path on embedded stand-ins over loopback."""

import json
import time
from typing import Annotated

import attrs
import cappa
import urllib3

__all__ = ["Demo", "run_demo"]

_NOTE = "Hide 4412, buck, Bhavnagar market. Grain tight, two tick marks near the neck. "

_ADMISSION_TRIES = 10
_ANSWER_S = 60.0


def _demo(command: "Demo") -> int:
    return run_demo(command.stay)


@cappa.command(name="demo", invoke=_demo)
@attrs.frozen
class Demo:
    """Run platform, three hosts, engines and a plain service, and show each step."""

    stay: Annotated[
        bool, cappa.Arg(long="--stay", help="Keep running and print addresses and keys")
    ] = False


def run_demo(stay: bool = False) -> int:
    """Start the deployment, send a prompt and an order and print what happened."""
    from sesameport.daemon.demo_hosts import start_hosts, stop_hosts
    from sesameport.standins import build_deployment, demo_key

    deployment = build_deployment()
    daemons = start_hosts(deployment)
    try:
        address = daemons[0].http.address
        print(f"platform   {deployment.url}")
        for daemon in daemons:
            print(f"host       {daemon.cfg.host.name} on {daemon.http.address}")
        _show_completion(daemons[0], address, demo_key("tannery-north"))
        _show_order(address, demo_key("dhol-makers"))
        if stay:
            _stay(daemons, demo_key)
    finally:
        stop_hosts(daemons)
        deployment.stop()
    return 0


def _post_until_admitted(address: str, body: dict, key: str):
    """Send a completion and repeat it while the workspace's rate is used up.

    A fresh fleet starts with empty token buckets, so the first call may come early.
    """
    for _ in range(_ADMISSION_TRIES):
        answer = urllib3.request(
            "POST",
            f"http://{address}/v1/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {key}"},
            preload_content=False,
            retries=False,
            timeout=_ANSWER_S,
        )
        if answer.status != 429:
            return answer
        print(f"completion status 429, retry after {answer.headers['Retry-After']} s")
        time.sleep(float(answer.headers["Retry-After"]))
    return answer


def _show_completion(daemon, address: str, key: str) -> None:
    body = {
        "model": "assessor",
        "prompt": _NOTE * 400,
        "max_tokens": 40,
        "stream": True,
    }
    started = time.monotonic()
    answer = _post_until_admitted(address, body, key)
    times, texts = [], []
    for line in answer:
        if not line.startswith(b"data: {"):
            continue
        times.append(time.monotonic())
        texts.append(json.loads(line[6:])["choices"][0]["text"])
    gaps = sorted(b - a for a, b in zip(times, times[1:], strict=False))
    request_id = answer.headers["X-Request-Id"]
    print(f"completion status {answer.status}, request {request_id}")
    for record in daemon.explain(request_id):
        print(f"  {record}")
    if len(gaps) < 2:
        print(f"  no answer: {''.join(texts)}")
        return
    print(f"  first token {times[0] - started:.3f} s after the first try")
    print(f"  {len(texts) - 1} tokens, median gap {gaps[len(gaps) // 2] * 1e3:.1f} ms")
    print(f"  text starts {''.join(texts)[:40]!r}")


def _show_order(address: str, key: str) -> None:
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "lot-17-dhol"}
    url = f"http://{address}/orders"
    for attempt in ("order", "repeat"):
        # The repeat has the same Idempotency-Key and must not book again.
        answer = urllib3.request(
            "POST",
            url,
            body=b'{"lot": 17}',
            headers=headers,
            retries=False,
            timeout=_ANSWER_S,
        )
        print(f"{attempt:10} status {answer.status}, {answer.data.decode()}")


def _stay(daemons, demo_key) -> None:
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
