"""Describe callers' requests, refusals and usage."""

import enum

import attrs

from sesameport.world.contracts import Urgency

__all__ = [
    "CompletionRequest",
    "Execution",
    "PlainRequest",
    "Refusal",
    "RefusalType",
    "Usage",
]


class Execution(enum.StrEnum):
    """Say whether a refused or failed request ran."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class RefusalType(enum.Enum):
    """Name the stable refusal types with their HTTP status and title."""

    BAD_REQUEST = ("bad-request", 400, "The request is not valid")
    UNKNOWN_KEY = ("unknown-key", 401, "The key is missing, unknown or withdrawn")
    UNKNOWN_MODEL = ("unknown-model", 404, "No service offers this model")
    UNKNOWN_ROUTE = ("unknown-route", 404, "No service document has this route")
    METHOD_NOT_ALLOWED = ("method-not-allowed", 405, "The route has other methods")
    PROMPT_TOO_LONG = ("prompt-too-long", 413, "The prompt exceeds the model's bound")
    BODY_TOO_LARGE = ("body-too-large", 413, "The request body is too large")
    KEY_REUSED = ("idempotency-key-reused", 422, "The key came with another body")
    IN_PROGRESS = ("idempotency-in-progress", 409, "The first call has not ended")
    RATE_LIMITED = ("rate-limited", 429, "The workspace's rate is used up")
    QUEUE_FULL = ("queue-full", 503, "Too many requests wait")
    DEADLINE = ("deadline", 504, "The deadline passed")
    NO_SERVER = ("no-server", 503, "No backend server can take the request")
    STALE_CONFIGURATION = ("stale-configuration", 503, "Keys cannot be confirmed")
    CLAIM_UNAVAILABLE = ("claim-unavailable", 503, "The claim cannot be stored")
    QUARANTINED = ("quarantined", 422, "This request crashed backend servers")
    SHUTTING_DOWN = ("shutting-down", 503, "This host is shutting down")
    UPSTREAM_FAILED = ("upstream-failed", 502, "The backend server failed")
    KEY_WITHDRAWN = ("key-withdrawn", 401, "The key was withdrawn")

    def __init__(self, slug: str, status: int, title: str):
        self.slug = slug
        self.status = status
        self.title = title


@attrs.frozen
class Refusal:
    """Describe a refusal as callers see it.

    Attributes
    ----------
    type : RefusalType
        Stable type.
    execution : Execution
        Whether the request ran. ``NOT_RUN`` only where that is certain.
    detail : str
        One sentence for the caller.
    retry_after_s : float or None
        Seconds after which a retry makes sense.
    """

    type: RefusalType
    execution: Execution = Execution.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None


@attrs.frozen
class CompletionRequest:
    """Describe a checked completion request.

    Attributes
    ----------
    request_id : str
        Id that the answer carries.
    service, workspace, model, adapter : str
        Names from the service document. Workspace is empty on open routes.
    prompt : str
        Prompt text.
    prompt_tokens : int
        Estimated length of the prompt, tokens.
    max_output_tokens : int
        Bound of the answer, tokens.
    expected_output_tokens : int
        Expected length of the answer, tokens.
    urgency : Urgency
        Place in the waiting order.
    deadline : float
        Monotonic time after which the answer has no value, seconds.
    digest : str
        SHA-256 of model and prompt, for the quarantine.
    prefix_digests : tuple of str
        Digests of the prompt's prefixes in pieces of fixed length.
    key_digest : str
        Digest of the key that came with the request; empty on open routes.
    arrived : float
        Monotonic time of arrival, seconds.
    kv_bytes : int
        Size of the prompt's KV cache, bytes.
    """

    request_id: str
    service: str
    workspace: str
    model: str
    adapter: str
    prompt: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    urgency: Urgency
    deadline: float
    digest: str
    prefix_digests: tuple[str, ...] = ()
    key_digest: str = ""
    arrived: float = 0.0
    kv_bytes: int = 0


@attrs.frozen
class PlainRequest:
    """Describe a checked call to a plain service.

    ``headers`` holds the forwarded headers only; the key is never among them.
    """

    request_id: str
    service: str
    workspace: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    urgency: Urgency
    deadline: float
    idempotency_key: str = ""
    key_digest: str = ""


@attrs.frozen
class Usage:
    """Count the tokens of one answer."""

    prompt_tokens: int = 0
    output_tokens: int = 0
