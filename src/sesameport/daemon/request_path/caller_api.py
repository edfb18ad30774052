"""Serve callers over HTTP: completions, models and plain services."""

import json
import select
import socket

from sesameport.daemon.request_path.caller_requests import (
    COMPLETION_PATHS,
    CompletionBody,
    key_digest,
    openai_error,
    parse_completion,
    problem_body,
    stream_chunk,
    usage_chunk,
    whole_answer,
)
from sesameport.requests import DeliverToken, RefuseRequest
from sesameport.world import Refusal, RefusalType

__all__ = ["CallerApi"]

_FORWARDED = ("accept", "content-type", "accept-language", "user-agent")
_REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class CallerApi:
    """Answer WSGI calls by handing them to the front desk of the daemon.

    Parameters
    ----------
    admission : AdmissionDesk
        Checks keys and routes and starts requests.
    max_body_bytes : int
        Largest request body, bytes.
    """

    def __init__(self, admission, max_body_bytes: int):
        self._admission = admission
        self._max_body_bytes = max_body_bytes

    def __call__(self, environ, start_response):
        """Answer one WSGI call."""
        request_id = self._admission.next_request_id()
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path == "/v1/models" and method == "GET":
            return self._models(environ, start_response, request_id)
        body = self._read_body(environ)
        if isinstance(body, Refusal):
            return _refuse(start_response, body, request_id)
        chat = COMPLETION_PATHS.get(path)
        if chat is not None:
            if method != "POST":
                refusal = Refusal(RefusalType.METHOD_NOT_ALLOWED, detail="use POST")
                return _refuse(start_response, refusal, request_id)
            return self._complete(environ, start_response, request_id, body, chat)
        return self._plain(environ, start_response, request_id, body)

    def _read_body(self, environ) -> bytes | Refusal:
        text = environ.get("CONTENT_LENGTH") or ""
        if text and (not text.isdigit() or int(text) > self._max_body_bytes):
            detail = f"at most {self._max_body_bytes} bytes"
            return Refusal(RefusalType.BODY_TOO_LARGE, detail=detail)
        chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
        if not text and not chunked:
            return b""
        limit = int(text) if text else self._max_body_bytes + 1
        try:
            data = environ["wsgi.input"].read(limit)
        except (OSError, ValueError):
            return Refusal(RefusalType.BAD_REQUEST, detail="the body did not arrive")
        if len(data) > self._max_body_bytes:
            return Refusal(RefusalType.BODY_TOO_LARGE)
        if text and len(data) < int(text):
            return Refusal(RefusalType.BAD_REQUEST, detail="the body is cut short")
        return data

    def _models(self, environ, start_response, request_id):
        names = self._admission.models(
            key_digest(environ.get("HTTP_AUTHORIZATION", ""))
        )
        if isinstance(names, Refusal):
            return _refuse(start_response, names, request_id)
        entries = [
            {"id": name, "object": "model", "owned_by": "sesameport"} for name in names
        ]
        answer = {"object": "list", "data": entries}
        return _json(start_response, 200, answer, request_id)

    def _complete(self, environ, start_response, request_id, data, chat):
        body = parse_completion(data, chat)
        if isinstance(body, Refusal):
            return _refuse(start_response, body, request_id)
        digest = key_digest(environ.get("HTTP_AUTHORIZATION", ""))
        started = self._admission.start_completion(
            request_id, environ["PATH_INFO"], body, digest, _gone_check(environ)
        )
        if isinstance(started, Refusal):
            return _refuse(start_response, started, request_id)
        if body.stream:
            return self._stream(start_response, request_id, body, started)
        return self._whole(start_response, request_id, body, started)

    def _whole(self, start_response, request_id, body, outputs):
        texts = []
        for output in outputs:
            if isinstance(output, DeliverToken):
                texts.append(output.text)
                continue
            if isinstance(output, RefuseRequest):
                return _refuse(start_response, output.refusal, request_id)
            answer = whole_answer(body, request_id, "".join(texts), output)
            return _json(start_response, 200, answer, request_id)
        raise RuntimeError("the answer ended without an end mark")

    def _stream(self, start_response, request_id, body, outputs):
        first = next(outputs)
        if isinstance(first, RefuseRequest):
            return _refuse(start_response, first.refusal, request_id)
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("X-Request-Id", request_id),
        ]
        start_response("200 OK", headers)
        return _StreamBody(first, outputs, body, request_id)

    def _plain(self, environ, start_response, request_id, data):
        headers = []
        for name in _FORWARDED:
            cgi_name = name.upper().replace("-", "_")
            key = cgi_name if name == "content-type" else f"HTTP_{cgi_name}"
            if environ.get(key):
                headers.append((name.title(), environ[key]))
        path = environ["PATH_INFO"]
        if environ.get("QUERY_STRING"):
            path += "?" + environ["QUERY_STRING"]
        answer = self._admission.call_plain(
            request_id,
            environ["REQUEST_METHOD"],
            path,
            tuple(headers),
            data,
            environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            key_digest(environ.get("HTTP_AUTHORIZATION", "")),
        )
        if isinstance(answer, Refusal):
            return _refuse(start_response, answer, request_id)
        status = f"{answer.status} {_REASONS.get(answer.status, 'Status')}"
        kept = [*answer.headers, ("X-Request-Id", request_id)]
        kept.append(("Content-Length", str(len(answer.body))))
        start_response(status, kept)
        return [answer.body]


class _StreamBody:
    """Iterate over server-sent events; closing it early cancels the request."""

    def __init__(self, first, outputs, body: CompletionBody, request_id: str):
        self._first = first
        self._outputs = outputs
        self._body = body
        self._request_id = request_id

    def __iter__(self):
        output = self._first
        while output is not None:
            if isinstance(output, DeliverToken):
                yield self._event(self._chunk(output.text, ""))
                output = next(self._outputs, None)
                continue
            if isinstance(output, RefuseRequest):
                error = openai_error(output.refusal, self._request_id)
                yield self._event({"error": error})
                return
            yield self._event(self._chunk("", output.finish_reason))
            if self._body.include_usage:
                usage = usage_chunk(self._body, self._request_id, output.usage)
                yield self._event(usage)
            yield b"data: [DONE]\n\n"
            return

    def _chunk(self, text: str, finish: str) -> dict:
        return stream_chunk(self._body, self._request_id, text, finish)

    @staticmethod
    def _event(body: dict) -> bytes:
        return b"data: " + json.dumps(body).encode() + b"\n\n"

    def close(self) -> None:
        """Cancel the request if it has not ended."""
        self._outputs.close()


def _gone_check(environ):
    """Return a function that tells whether the caller closed its connection."""
    conn = environ.get("sesameport.socket")

    def is_gone() -> bool:
        if conn is None:
            return False
        try:
            readable, _, _ = select.select([conn], [], [], 0)
            return bool(readable) and not conn.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    return is_gone


def _json(start_response, status: int, body: dict, request_id: str, headers=()):
    data = json.dumps(body).encode()
    kind = "application/json" if status < 400 else "application/problem+json"
    all_headers = [
        ("Content-Type", kind),
        ("Content-Length", str(len(data))),
        ("X-Request-Id", request_id),
        *headers,
    ]
    start_response(f"{status} {_REASONS.get(status, 'Status')}", all_headers)
    return [data]


def _refuse(start_response, refusal: Refusal, request_id: str):
    headers = []
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
    if refusal.type.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    body = problem_body(refusal, request_id)
    return _json(start_response, refusal.type.status, body, request_id, headers)
