"""Define the messages that ask the entry actor and change nothing."""

import attrs

__all__ = [
    "ExplainPlacement",
    "FleetCounts",
    "GetExpiredHosts",
    "GetFleetCounts",
    "GetUsableServers",
]


@attrs.frozen
class ExplainPlacement:
    """Ask where a request would go now, without sending it.

    The reply is a dict of JSON types; see ``entry.PlacementExplainer``. ``target_s``
    and ``patience_s`` are the times until the first event is due and until the caller
    disconnects without one, seconds. ``charge_tokens`` would be charged to the
    workspace. ``allowed_regions`` are the regions of the servers that the request may
    reach, None for all.
    """

    service: str
    workspace: str
    charge_tokens: float
    prompt_tokens: int
    output_tokens: int
    part_ids: tuple[str, ...]
    part_tokens: tuple[int, ...]
    priority: int
    target_s: float
    patience_s: float
    allowed_regions: frozenset[str] | None = None


@attrs.frozen
class GetFleetCounts:
    """Request the numbers of known servers and hosts as `FleetCounts`."""


@attrs.frozen
class GetUsableServers:
    """Request the names of the servers that may get new requests."""


@attrs.frozen
class GetExpiredHosts:
    """Request the names of the hosts whose registrations should be deleted."""


@attrs.frozen
class FleetCounts:
    """Return the number of registered servers and of other hosts that report."""

    servers: int
    hosts: int
