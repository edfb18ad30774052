"""Parse and check callers' requests and build the bodies of responses."""

import hashlib
import json
import time

import attrs

from sesameport.domain import Model, Refusal, RefusalType

__all__ = [
    "COMPLETION_PATHS",
    "CompletionBody",
    "build_openai_error",
    "build_problem_body",
    "build_response",
    "build_stream_chunk",
    "build_usage_chunk",
    "compute_prefix_digests",
    "estimate_tokens",
    "hash_bearer_key",
    "parse_completion",
]

COMPLETION_PATHS = {"/v1/completions": False, "/v1/chat/completions": True}
"""Paths of completions; the value is whether the path uses the chat format."""

_BYTES_PER_TOKEN = 4
"""Assumed size of a token in UTF-8 text."""

PREFIX_CHARS = 4_096
"""Length step of the prompt prefixes that the KV cache lookup compares."""


@attrs.frozen
class CompletionBody:
    """Hold the fields of a completion body that the router uses.

    Attributes
    ----------
    model : str
        ``model`` or ``model:adapter``.
    prompt : str
        Prompt; chat messages are joined as ``role: content`` lines.
    max_tokens : int or None
        Output limit that the caller requested, tokens.
    stream : bool
        Whether the answer is sent as server-sent events.
    chat : bool
        Whether the chat format is used.
    include_usage : bool
        Whether the last event of a stream carries the token counts.
    """

    model: str
    prompt: str
    max_tokens: int | None
    stream: bool
    chat: bool
    include_usage: bool = False


def parse_completion(data: bytes, chat: bool) -> CompletionBody | Refusal:
    """Parse a completion body; return a refusal that lists every error if it fails."""
    try:
        body = json.loads(data)
    except (ValueError, RecursionError):
        return Refusal(RefusalType.BAD_REQUEST, detail="the body is not JSON")
    if not isinstance(body, dict):
        return Refusal(RefusalType.BAD_REQUEST, detail="the body is not an object")
    problems = []
    model = body.get("model")
    if not isinstance(model, str) or not model:
        problems.append("model: expected text")
    prompt = _join_chat_messages(body) if chat else body.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        field = "messages" if chat else "prompt"
        problems.append(f"{field}: expected text that is not empty")
    max_tokens = body.get("max_tokens", body.get("max_completion_tokens"))
    if max_tokens is not None and not _is_positive_integer(max_tokens):
        problems.append("max_tokens: expected a whole number above 0")
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        problems.append("stream: expected true or false")
    include_usage = False
    options = body.get("stream_options")
    if options is not None:
        requested = options.get("include_usage") if isinstance(options, dict) else 0
        if stream is not True or not isinstance(requested, bool | None):
            problems.append("stream_options: expected include_usage of a stream")
        include_usage = requested is True
    if body.get("n", 1) != 1:
        problems.append("n: only 1 is supported")
    if problems:
        return Refusal(RefusalType.BAD_REQUEST, detail="; ".join(problems))
    return CompletionBody(model, prompt, max_tokens, stream, chat, include_usage)


def _is_positive_integer(value) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0


def _join_chat_messages(body: dict) -> str | None:
    messages = body.get("messages")
    if not isinstance(messages, list):
        return None
    lines = []
    for message in messages:
        if not isinstance(message, dict):
            return None
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            return None
        lines.append(f"{role}: {content}")
    return "\n".join(lines)


def estimate_tokens(prompt: str) -> int:
    """Estimate the length of a prompt at four bytes per token, tokens."""
    return max(1, len(prompt.encode()) // _BYTES_PER_TOKEN)


def check_prompt(prompt_tokens: int, model: Model) -> Refusal | None:
    """Return a refusal if the prompt exceeds the limit of the model, else None."""
    if prompt_tokens <= model.max_prompt_tokens:
        return None
    detail = f"{prompt_tokens} tokens, at most {model.max_prompt_tokens}"
    return Refusal(RefusalType.PROMPT_TOO_LONG, detail=detail)


def hash_bearer_key(authorization: str) -> str:
    """Return ``sha256:<hex>`` of the bearer key, or an empty text if there is none."""
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return ""
    return "sha256:" + hashlib.sha256(key.strip().encode()).hexdigest()


def compute_prefix_digests(prompt: str) -> tuple[str, ...]:
    """Return the digests of the prompt prefixes at each multiple of `PREFIX_CHARS`."""
    ends = range(PREFIX_CHARS, len(prompt) + 1, PREFIX_CHARS)
    return tuple(hashlib.sha256(prompt[:end].encode()).hexdigest() for end in ends)


def build_openai_error(refusal: Refusal, request_id: str) -> dict:
    """Build the error object of the OpenAI API for a refusal."""
    return {
        "message": refusal.detail or refusal.type.title,
        "type": f"urn:sesameport:{refusal.type.slug}",
        "param": None,
        "code": refusal.type.slug,
        "execution": refusal.execution.value,
        "request_id": request_id,
    }


def build_problem_body(refusal: Refusal, request_id: str) -> dict:
    """Build the ``application/problem+json`` body of a refusal.

    Clients of the OpenAI API read its ``error`` member.
    """
    body = {
        "type": f"urn:sesameport:{refusal.type.slug}",
        "title": refusal.type.title,
        "status": refusal.type.status,
        "execution": refusal.execution.value,
        "request_id": request_id,
        "error": build_openai_error(refusal, request_id),
    }
    if refusal.detail:
        body["detail"] = refusal.detail
    return body


def build_stream_chunk(
    body: CompletionBody, request_id: str, text: str, finish_reason: str
) -> dict:
    """Build one event of a streamed response in the OpenAI format."""
    choice: dict = {"index": 0, "finish_reason": finish_reason or None}
    if body.chat:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["text"] = text
    return _build_stream_event(body, request_id, [choice])


def build_usage_chunk(body: CompletionBody, request_id: str, usage) -> dict:
    """Build the last event of a stream whose caller requested token counts."""
    return {**_build_stream_event(body, request_id, []), "usage": _build_usage(usage)}


def _build_stream_event(body: CompletionBody, request_id: str, choices: list) -> dict:
    event = {
        "id": request_id,
        "object": "chat.completion.chunk" if body.chat else "text_completion",
        "created": int(time.time()),
        "model": body.model,
        "choices": choices,
    }
    if body.include_usage:
        event["usage"] = None
    return event


def _build_usage(usage) -> dict:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    }


def build_response(body: CompletionBody, request_id: str, text: str, result) -> dict:
    """Build a complete response in the OpenAI format."""
    choice: dict = {"index": 0, "finish_reason": result.finish_reason}
    if body.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request_id,
        "object": "chat.completion" if body.chat else "text_completion",
        "created": int(time.time()),
        "model": body.model,
        "choices": [choice],
        "usage": _build_usage(result.usage),
    }
