"""Send requests to a host over HTTP."""

import json

import urllib3

from sesameport.standins import demo_key

WORKSPACE_KEY = demo_key("tannery-north")


def send_post(daemon, path, body, key=WORKSPACE_KEY, **headers):
    """Send a POST with a bearer key and return the response."""
    if key:
        headers["Authorization"] = f"Bearer {key}"
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    url = f"http://{daemon.http.address}{path}"
    # The default timeout of 3 s is too short: a charge alone may wait that long.
    return urllib3.request(
        "POST", url, body=data, headers=headers, retries=False, timeout=30.0
    )


def send_completion(daemon, prompt, count=5, key=WORKSPACE_KEY, **fields):
    """Send a completion request and return the response."""
    body = {"model": "assessor", "prompt": prompt, "max_tokens": count, **fields}
    return send_post(daemon, "/v1/completions", body, key)


def parse_stream(response) -> tuple[list[str], bool]:
    """Return the texts of a streamed response and whether it has its ``[DONE]``."""
    texts, is_done = [], False
    for line in response.data.split(b"\n"):
        if line == b"data: [DONE]":
            is_done = True
        elif line.startswith(b"data: {"):
            event = json.loads(line[6:])
            if "choices" in event and event["choices"][0].get("text"):
                texts.append(event["choices"][0]["text"])
    return texts, is_done
