"""Describe the configuration that an entry host serves.

The types hold one accepted version. They are built by an adapter of a platform and do
not change afterwards, so that request threads read them without a lock.
"""

import enum
import hashlib

import attrs

__all__ = [
    "CallerLimits",
    "EngineProfile",
    "EntryConfiguration",
    "EntryRoute",
    "EntryService",
    "EntryWorkspace",
    "RequestKind",
    "ServiceShare",
    "key_digest",
]


class RequestKind(enum.StrEnum):
    """Name what may be repeated of a request.

    ``SAFE`` requests may run several times, ``UNSAFE`` ones at most once. A
    ``STREAM`` runs at most once unless its route allows it to be resumed.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """Give the weight with which a route sends requests to a service."""

    service: str
    weight: float


@attrs.frozen
class EntryRoute:
    """Describe one route.

    Attributes
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        ``Host`` header and beginning of the path of its requests.
    kind : RequestKind
        What may be repeated.
    shares : tuple of ServiceShare
        Services that run its requests.
    timeout_s : float
        Longest time that a request may stay unanswered, seconds.
    target_s : float
        Time to the answer or to the first event within which it is of full use,
        seconds.
    max_attempts : int
        Servers that may run one request.
    priority : int
        Rank of the route, 0 first.
    is_open : bool
        Whether callers need no key.
    is_resumable : bool
        Whether a broken stream may go on at another server.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_s: float
    max_attempts: int = 1
    priority: int = 5
    is_open: bool = False
    is_resumable: bool = False

    def may_retry(self) -> bool:
        """Tell whether a request that may have run may be sent again."""
        return self.kind == RequestKind.SAFE


@attrs.frozen
class EngineProfile:
    """Describe the model engines of a service.

    Attributes
    ----------
    slots : int
        Requests that one engine runs at once.
    kv_tokens : int
        KV cache of one engine, tokens.
    role_change_s : float
        Time that a change between prefill and decode takes, seconds.
    handle_s : float
        Time for which a prefill engine keeps a KV cache that nobody takes, seconds.
    """

    slots: int
    kv_tokens: int
    role_change_s: float = 6.0
    handle_s: float = 0.5


@attrs.frozen
class EntryService:
    """Describe one service; ``engine`` is None for plain services."""

    name: str
    engine: EngineProfile | None = None


@attrs.frozen
class EntryWorkspace:
    """Describe one workspace.

    Attributes
    ----------
    name : str
        Name of the workspace.
    key_digests : tuple of str
        Digests of its keys, see `key_digest`.
    priority : int or None
        Rank that goes before the rank of the route.
    rate_per_s, burst : float
        Fleet-wide rate and burst, tokens; a rate of 0 means no limit.
    plain_tokens : int
        Tokens that a request without a token count is charged.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    plain_tokens: int = 1


@attrs.frozen
class CallerLimits:
    """Bound what a caller may send and how long its connection may stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_s: float = 15.0


@attrs.frozen
class EntryConfiguration:
    """Hold one accepted version of the configuration."""

    version: int
    routes: tuple[EntryRoute, ...] = ()
    services: tuple[EntryService, ...] = ()
    workspaces: tuple[EntryWorkspace, ...] = ()
    limits: CallerLimits = CallerLimits()

    def service(self, name: str) -> EntryService | None:
        """Return the service of a name."""
        for service in self.services:
            if service.name == name:
                return service
        return None


def key_digest(key: str) -> str:
    """Return the digest under which a key is kept; keys themselves are not."""
    return hashlib.sha256(key.encode()).hexdigest()
