"""Define callers' requests, refusals and token usage."""

import enum

import attrs

from sesameport.domain.service_documents import Urgency

__all__ = [
    "CompletionRequest",
    "Execution",
    "PlainRequest",
    "Refusal",
    "RefusalType",
    "Usage",
]


class Execution(enum.StrEnum):
    """Represent what is known about whether a request ran."""

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"


class RefusalType(enum.Enum):
    """Enumerate the refusal types, which are stable, with HTTP status and title."""

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
    """Represent a refusal that is returned to the caller.

    Attributes
    ----------
    type : RefusalType
        Refusal type.
    execution : Execution
        Whether the request ran. ``NOT_RUN`` is set only if that is certain.
    detail : str
        Explanation for the caller, one sentence.
    retry_after_s : float or None
        Time after which a retry is useful, seconds; None if no time can be given.
    """

    type: RefusalType
    execution: Execution = Execution.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None


@attrs.frozen
class CompletionRequest:
    """Represent a validated completion request.

    Attributes
    ----------
    request_id : str
        Id of the request, which the response repeats.
    service, workspace, model, adapter : str
        Names from the service document. The workspace is empty on open routes.
    prompt : str
        Prompt text.
    prompt_tokens : int
        Estimated length of the prompt, tokens.
    max_output_tokens : int
        Maximum length of the response, tokens.
    expected_output_tokens : int
        Expected length of the response, tokens.
    urgency : Urgency
        Urgency, which determines the position in the waiting queue.
    deadline : float
        Monotonic time after which a response is useless to the caller, seconds.
    digest : str
        SHA-256 of model and prompt, by which requests are quarantined.
    prefix_digests : tuple of str
        Digests of the prompt's prefixes, each one block of fixed length longer than
        the previous one.
    key_digest : str
        Digest of the API key of the request; empty on open routes.
    arrived_at : float
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
    arrived_at: float = 0.0
    kv_bytes: int = 0


@attrs.frozen
class PlainRequest:
    """Represent a validated call to a plain service.

    ``headers`` contains only the headers to forward, never the API key. ``repeatable``
    is the setting of the route, see `Route`.
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
    """Hold the token counts of one request."""

    prompt_tokens: int = 0
    output_tokens: int = 0
