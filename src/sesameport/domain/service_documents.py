"""Define the contents of a service document, such as models, workspaces and routes.

Each attrs class corresponds to a TOML table of the document and has the same fields.
"""

import enum

import attrs

from sesameport.domain.topology import Link, ServerRole

__all__ = [
    "LatencyTargets",
    "Model",
    "RegionShare",
    "Route",
    "ServerClass",
    "ServiceDocument",
    "ServiceKind",
    "Urgency",
    "Workspace",
]


class ServiceKind(enum.StrEnum):
    """Enumerate the kinds of service."""

    MODEL = "model"
    PLAIN = "plain"


class Urgency(enum.StrEnum):
    """Enumerate the latency classes of requests, set by their route.

    An urgent request should get its first token within the service's latency target. A
    patient request may wait longer.
    """

    URGENT = "urgent"
    PATIENT = "patient"


@attrs.frozen
class Model:
    """Represent a model that a service offers.

    Attributes
    ----------
    name : str
        Value of ``model`` in callers' requests.
    version : str
        Version that backend servers load.
    adapters : tuple of str
        Adapters that callers can request as ``model:adapter``.
    max_prompt_tokens, max_output_tokens : int
        Limits of one request, tokens.
    kv_bytes_per_token : int
        KV cache size per prompt token, bytes.
    """

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()
    max_prompt_tokens: int = 32_000
    max_output_tokens: int = 2_000
    kv_bytes_per_token: int = 131_072


@attrs.frozen
class LatencyTargets:
    """Represent the latency targets of a service.

    Attributes
    ----------
    first_token_s : float
        Target for the time to the first token, seconds.
    between_tokens_s : float
        Target for the time between tokens, seconds.
    share : float
        Fraction of requests that must meet the targets.
    """

    first_token_s: float = 1.3
    between_tokens_s: float = 0.042
    share: float = 0.95


@attrs.frozen
class Workspace:
    """Represent a workspace with its keys and rate limit.

    Attributes
    ----------
    name : str
        Name of the workspace, unique in the document.
    keys : tuple of str
        ``sha256:<hex>`` digests of the valid API keys.
    rate_tokens_per_s : float
        Rate limit for all hosts together, tokens per second.
    burst_tokens : float
        Burst size of the rate limit for all hosts together, tokens.
    weight : float
        Relative weight of the workspace in the waiting queue.
    """

    name: str
    keys: tuple[str, ...] = ()
    rate_tokens_per_s: float = 1_000.0
    burst_tokens: float = 100_000.0
    weight: float = 1.0


@attrs.frozen
class Route:
    """Represent a path prefix and the rules for its calls.

    Attributes
    ----------
    path : str
        Path prefix, for example ``/v1/completions`` or ``/stock/``.
    model : str
        The only model that the route serves; empty for all models.
    methods : tuple of str
        Allowed HTTP methods, upper case.
    urgency : Urgency
        Urgency, which determines the position in the waiting queue.
    open : bool
        Whether calls are allowed without an API key.
    repeatable : bool
        Whether a call may be retried although it may have run.
    deadline_s : float
        Time limit of a whole call, retries included, seconds.
    cost_tokens : int
        Charge of one call to a plain service, tokens.
    """

    path: str
    model: str = ""
    methods: tuple[str, ...] = ("POST",)
    urgency: Urgency = Urgency.PATIENT
    open: bool = False
    repeatable: bool = True
    deadline_s: float = 300.0
    cost_tokens: int = 1


@attrs.frozen
class ServerClass:
    """Represent a class of backend servers with the same properties.

    Attributes
    ----------
    name : str
        Name of the class.
    role : ServerRole
        Initial role of its servers.
    checks_fencing : bool
        Whether its servers reject orders with an outdated fencing number.
    slots : int
        Number of requests that one server runs concurrently.
    prefill_tokens_per_s : float
        Expected prefill speed of one server, tokens per second.
    """

    name: str
    role: ServerRole = ServerRole.BOTH
    checks_fencing: bool = False
    slots: int = 20
    prefill_tokens_per_s: float = 8_000.0


@attrs.frozen
class RegionShare:
    """Represent the fraction of every workspace's rate and burst that a region gets."""

    name: str
    share: float


@attrs.frozen
class ServiceDocument:
    """Represent the document in which a team describes its service.

    The platform stores the document as TOML text. The object version in the platform
    tells which of two versions of the document is newer.
    """

    name: str
    kind: ServiceKind = ServiceKind.MODEL
    targets: LatencyTargets = LatencyTargets()
    models: tuple[Model, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    routes: tuple[Route, ...] = ()
    server_classes: tuple[ServerClass, ...] = ()
    links: tuple[Link, ...] = ()
    regions: tuple[RegionShare, ...] = ()
    weight_store_loads_at_once: int = 1
