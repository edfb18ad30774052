"""Call a host as its callers do."""

import json

import urllib3

from sesameport.standins import demo_key

KEY = demo_key("tannery-north")


def post(daemon, path, body, key=KEY, **headers):
    """Send a POST with a bearer key and return the whole answer."""
    if key:
        headers["Authorization"] = f"Bearer {key}"
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    url = f"http://{daemon.http.address}{path}"
    # The default of urllib3.request is 3 s; a charge alone may wait that long.
    return urllib3.request(
        "POST", url, body=data, headers=headers, retries=False, timeout=30.0
    )


def complete(daemon, prompt, count=5, key=KEY, **fields):
    """Send a completion request and return the whole answer."""
    body = {"model": "assessor", "prompt": prompt, "max_tokens": count, **fields}
    return post(daemon, "/v1/completions", body, key)


def stream_texts(answer) -> tuple[list[str], bool]:
    """Return the texts of a streamed answer and whether it has its end mark."""
    texts, done = [], False
    for line in answer.data.split(b"\n"):
        if line == b"data: [DONE]":
            done = True
        elif line.startswith(b"data: {"):
            event = json.loads(line[6:])
            if "choices" in event and event["choices"][0].get("text"):
                texts.append(event["choices"][0]["text"])
    return texts, done
