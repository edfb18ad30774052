"""Define the configuration of an entry host.

An instance represents one accepted version and is immutable, so request threads read
it without a lock. The adapter of the users' platform builds it.
"""

import enum
import hashlib

import attrs

from sesameport.adapters.caller_limits.bounds import CallerLimits

__all__ = [
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
    """Classify requests by whether they may be retried.

    A ``SAFE`` request may run several times and an ``UNSAFE`` one at most once. A
    ``STREAM`` runs at most once unless its route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class ServiceShare:
    """Represent the weight of a service among the services of a route."""

    service: str
    weight: float


@attrs.frozen
class EntryRoute:
    """Represent one route.

    Attributes
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        ``Host`` header and path prefix of its requests.
    kind : RequestKind
        Whether a request may be retried.
    shares : tuple of ServiceShare
        Services that run its requests, with their weights.
    timeout_s : float
        Longest time until the response, seconds.
    target_s : float
        Latency target for the response or the first event, seconds.
    max_attempts : int
        Number of servers that may run one request.
    priority : int
        Priority of the route; 0 is the highest.
    is_open : bool
        Whether callers need no key.
    is_resumable : bool
        Whether a broken stream may be resumed at another server.
    allowed_regions : tuple of str
        Regions in which its requests may be; empty without a restriction.
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
    allowed_regions: tuple[str, ...] = ()

    def may_retry(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.kind == RequestKind.SAFE


@attrs.frozen
class EngineProfile:
    """Represent the properties of a service's engines.

    Attributes
    ----------
    slots : int
        Number of requests that one engine runs concurrently.
    kv_tokens : int
        KV cache capacity of one engine, tokens.
    role_change_s : float
        Duration of a change between prefill and decode, seconds.
    handle_s : float
        Time for which a prefill engine keeps a KV cache that is not fetched, seconds.
    max_lease_s : float
        Longest time for which an engine leases KV cache in advance, seconds; 0 if it
        grants no leases.
    """

    slots: int
    kv_tokens: int
    role_change_s: float = 6.0
    handle_s: float = 0.5
    max_lease_s: float = 0.0


@attrs.frozen
class EntryService:
    """Represent one service; ``engine`` is None for a plain service.

    Attributes
    ----------
    cold_start_s : float
        Time for which a server is cold after its start, seconds.
    cold_per_s : float
        Requests per second that a cold server takes from all hosts together; 0 if
        servers of the service are never cold.
    """

    name: str
    engine: EngineProfile | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen
class EntryWorkspace:
    """Represent one workspace.

    Attributes
    ----------
    name : str
        Name of the workspace.
    key_digests : tuple of str
        Digests of its API keys, see `key_digest`.
    priority : int or None
        Priority that overrides the priority of the route.
    rate_per_s, burst : float
        Fleet-wide rate and burst, tokens; a rate of 0 means no limit.
    plain_tokens : int
        Tokens charged for a request without a token count.
    allowed_regions : tuple of str
        Regions in which its requests may be; empty without a restriction.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    plain_tokens: int = 1
    allowed_regions: tuple[str, ...] = ()


@attrs.frozen
class EntryConfiguration:
    """Represent one accepted version of the configuration."""

    version: int
    routes: tuple[EntryRoute, ...] = ()
    services: tuple[EntryService, ...] = ()
    workspaces: tuple[EntryWorkspace, ...] = ()
    limits: CallerLimits = CallerLimits()

    def service(self, name: str) -> EntryService | None:
        """Return the service with this name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None


def key_digest(key: str) -> str:
    """Return the digest of an API key; keys themselves are not stored."""
    return hashlib.sha256(key.encode()).hexdigest()
