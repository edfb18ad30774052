"""Serve completions, the model list and plain services to callers over HTTP."""

import json
import select
import socket

import attrs

from sesameport.adapters.caller_limits.bounds import BodyRefused
from sesameport.adapters.caller_limits.listener import RETRY_AFTER_S
from sesameport.adapters.strict_http import StrictRequest
from sesameport.daemon.request_path.caller_requests import (
    COMPLETION_PATHS,
    CompletionBody,
    build_openai_error,
    build_problem_body,
    build_response,
    build_stream_chunk,
    build_usage_chunk,
    hash_bearer_key,
    parse_completion,
)
from sesameport.domain import Refusal, RefusalType
from sesameport.requests import DeliverToken, RefuseRequest

__all__ = ["CallerApi"]

_FORWARDED_HEADERS = ("accept", "content-type", "accept-language", "user-agent")
_STATUS_TEXTS = {
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

_REFUSAL_TYPES = {
    413: RefusalType.BODY_TOO_LARGE,
    503: RefusalType.QUEUE_FULL,
}
"""Types of refusals before a request is read; all others are bad requests."""


class CallerApi:
    """Answer callers as a WSGI application.

    Parameters
    ----------
    admission : RequestAdmission
        Authenticates and starts requests.
    """

    def __init__(self, admission):
        self._admission = admission

    def __call__(self, environ, start_response):
        """Handle one WSGI call."""
        request_id = self._admission.next_request_id()
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path == "/v1/models" and method == "GET":
            return self._list_models(environ, start_response, request_id)
        body = environ["sesameport.body"]
        chat = COMPLETION_PATHS.get(path)
        if chat is not None:
            if method != "POST":
                refusal = Refusal(RefusalType.METHOD_NOT_ALLOWED, detail="use POST")
                return _send_refusal(start_response, refusal, request_id)
            return self._handle_completion(
                environ, start_response, request_id, body, chat
            )
        return self._handle_plain_call(environ, start_response, request_id, body)

    def refuse(self, req: StrictRequest, exc: BodyRefused) -> None:
        """Answer a request that was refused before it was read; it has not run."""
        refusal = Refusal(_REFUSAL_TYPES.get(exc.status, RefusalType.BAD_REQUEST))
        if exc.bound == "stopping":
            refusal = Refusal(RefusalType.SHUTTING_DOWN)
        elif refusal.type is RefusalType.QUEUE_FULL:
            refusal = attrs.evolve(refusal, retry_after_s=RETRY_AFTER_S)
        refusal = attrs.evolve(refusal, detail=str(exc))
        request_id = self._admission.next_request_id()

        def start_response(status, headers):
            req.status = status.encode()
            req.outheaders = [(name.encode(), text.encode()) for name, text in headers]

        parts = _send_refusal(start_response, refusal, request_id)
        req.close_connection = True
        req.ensure_headers_sent()
        for part in parts:
            req.conn.wfile.write(part)

    def _list_models(self, environ, start_response, request_id):
        names = self._admission.list_models(
            hash_bearer_key(environ.get("HTTP_AUTHORIZATION", ""))
        )
        if isinstance(names, Refusal):
            return _send_refusal(start_response, names, request_id)
        entries = [
            {"id": name, "object": "model", "owned_by": "sesameport"} for name in names
        ]
        answer = {"object": "list", "data": entries}
        return _send_json(start_response, 200, answer, request_id)

    def _handle_completion(self, environ, start_response, request_id, data, chat):
        body = parse_completion(data, chat)
        if isinstance(body, Refusal):
            return _send_refusal(start_response, body, request_id)
        key_digest = hash_bearer_key(environ.get("HTTP_AUTHORIZATION", ""))
        outputs = self._admission.start_completion(
            request_id,
            environ["PATH_INFO"],
            body,
            key_digest,
            _make_disconnect_check(environ),
        )
        if isinstance(outputs, Refusal):
            return _send_refusal(start_response, outputs, request_id)
        if body.stream:
            return self._start_stream(start_response, request_id, body, outputs)
        return self._send_response(start_response, request_id, body, outputs)

    def _send_response(self, start_response, request_id, body, outputs):
        texts = []
        for output in outputs:
            if isinstance(output, DeliverToken):
                texts.append(output.text)
                continue
            if isinstance(output, RefuseRequest):
                return _send_refusal(start_response, output.refusal, request_id)
            answer = build_response(body, request_id, "".join(texts), output)
            return _send_json(start_response, 200, answer, request_id)
        raise RuntimeError("the outputs ended without an end or a refusal")

    def _start_stream(self, start_response, request_id, body, outputs):
        first_output = next(outputs)
        if isinstance(first_output, RefuseRequest):
            return _send_refusal(start_response, first_output.refusal, request_id)
        headers = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("X-Request-Id", request_id),
        ]
        start_response("200 OK", headers)
        return _StreamBody(first_output, outputs, body, request_id)

    def _handle_plain_call(self, environ, start_response, request_id, data):
        headers = []
        for name in _FORWARDED_HEADERS:
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
            hash_bearer_key(environ.get("HTTP_AUTHORIZATION", "")),
        )
        if isinstance(answer, Refusal):
            return _send_refusal(start_response, answer, request_id)
        status = f"{answer.status} {_STATUS_TEXTS.get(answer.status, 'Status')}"
        response_headers = [*answer.headers, ("X-Request-Id", request_id)]
        response_headers.append(("Content-Length", str(len(answer.body))))
        start_response(status, response_headers)
        return [answer.body]


class _StreamBody:
    """Iterate over the server-sent events of a response.

    Closing the iterator before its end cancels the request.
    """

    def __init__(self, first_output, outputs, body: CompletionBody, request_id: str):
        self._first_output = first_output
        self._outputs = outputs
        self._body = body
        self._request_id = request_id

    def __iter__(self):
        output = self._first_output
        while output is not None:
            if isinstance(output, DeliverToken):
                yield self._encode_event(self._build_chunk(output.text, ""))
                output = next(self._outputs, None)
                continue
            if isinstance(output, RefuseRequest):
                error = build_openai_error(output.refusal, self._request_id)
                yield self._encode_event({"error": error})
                return
            yield self._encode_event(self._build_chunk("", output.finish_reason))
            if self._body.include_usage:
                usage = build_usage_chunk(self._body, self._request_id, output.usage)
                yield self._encode_event(usage)
            yield b"data: [DONE]\n\n"
            return

    def _build_chunk(self, text: str, finish_reason: str) -> dict:
        return build_stream_chunk(self._body, self._request_id, text, finish_reason)

    @staticmethod
    def _encode_event(body: dict) -> bytes:
        return b"data: " + json.dumps(body).encode() + b"\n\n"

    def close(self) -> None:
        """Cancel the request if it has not ended."""
        self._outputs.close()


def _make_disconnect_check(environ):
    """Return a function that returns whether the caller closed its connection."""
    conn = environ.get("sesameport.socket")

    def is_disconnected() -> bool:
        if conn is None:
            return False
        if conn.fileno() < 0:
            return True
        # select.select raises ValueError for a descriptor above 1,023.
        poller = select.poll()
        poller.register(conn, select.POLLIN)
        try:
            return bool(poller.poll(0)) and not conn.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    return is_disconnected


def _send_json(start_response, status: int, body: dict, request_id: str, headers=()):
    data = json.dumps(body).encode()
    content_type = "application/json" if status < 400 else "application/problem+json"
    all_headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(data))),
        ("X-Request-Id", request_id),
        *headers,
    ]
    start_response(f"{status} {_STATUS_TEXTS.get(status, 'Status')}", all_headers)
    return [data]


def _send_refusal(start_response, refusal: Refusal, request_id: str):
    headers = []
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(refusal.retry_after_s)))))
    if refusal.type.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    body = build_problem_body(refusal, request_id)
    return _send_json(start_response, refusal.type.status, body, request_id, headers)
