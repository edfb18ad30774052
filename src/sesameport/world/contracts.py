"""Describe what a service document promises: models, workspaces and routes.

The attrs classes mirror the TOML tables of a service document field by field.
"""

import enum

import attrs

from sesameport.world.places import Link, ServerRole

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
    """Name the kinds of service."""

    MODEL = "model"
    PLAIN = "plain"


class Urgency(enum.StrEnum):
    """Name how long the requests of a route may wait."""

    URGENT = "urgent"
    PATIENT = "patient"


@attrs.frozen
class Model:
    """Describe a model that a service offers.

    Attributes
    ----------
    name : str
        Name that callers put into ``model``.
    version : str
        Version that backend servers are to load.
    adapters : tuple of str
        Adapters that callers may name as ``model:adapter``.
    max_prompt_tokens, max_output_tokens : int
        Bounds of one request, tokens.
    kv_bytes_per_token : int
        Size of the KV cache of one prompt token, bytes.
    """

    name: str
    version: str = "1"
    adapters: tuple[str, ...] = ()
    max_prompt_tokens: int = 32_000
    max_output_tokens: int = 2_000
    kv_bytes_per_token: int = 131_072


@attrs.frozen
class LatencyTargets:
    """Give the latency targets of a service, in seconds."""

    first_token_s: float = 1.3
    between_tokens_s: float = 0.042
    share: float = 0.95


@attrs.frozen
class Workspace:
    """Describe a workspace: its key digests, rate and burst.

    Attributes
    ----------
    name : str
        Name of the workspace, unique in the document.
    keys : tuple of str
        ``sha256:<hex>`` digests of the keys that are valid now.
    rate_tokens_per_s : float
        Tokens per second across all hosts together.
    burst_tokens : float
        Tokens that may be used at once across all hosts together.
    weight : float
        Relative weight in the waiting order.
    """

    name: str
    keys: tuple[str, ...] = ()
    rate_tokens_per_s: float = 1_000.0
    burst_tokens: float = 100_000.0
    weight: float = 1.0


@attrs.frozen
class Route:
    """Describe a route: a path prefix and how its calls are treated.

    Attributes
    ----------
    path : str
        Path prefix, for example ``/v1/completions`` or ``/stock/``.
    model : str
        Model that the route is limited to; empty for all.
    methods : tuple of str
        HTTP methods, upper case.
    urgency : Urgency
        Place in the waiting order.
    open : bool
        Whether calls need no key.
    repeatable : bool
        Whether a call may be sent again after it may have run.
    deadline_s : float
        Longest time a call may take in all, seconds.
    cost_tokens : int
        Tokens that one call to a plain service is charged.
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
    """Describe a class of backend servers.

    Attributes
    ----------
    name : str
        Name of the class.
    role : ServerRole
        Role that its servers start with.
    checks_fencing : bool
        Whether its servers refuse an order with an old fencing number.
    slots : int
        Requests that one server runs at once.
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
    """Give the part of every workspace's rate and burst that a region holds."""

    name: str
    share: float


@attrs.frozen
class ServiceDocument:
    """Describe one service, as its team's document states it.

    The platform stores the document as TOML text; its object version orders the
    versions of one document.
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
