"""Decode the configuration that the operator keeps in the users' store."""

import math

import msgspec
from result import Err, Ok, Result

from sesameport.entry.configuration import (
    CallerLimits,
    EngineProfile,
    EntryConfiguration,
    EntryRoute,
    EntryService,
    EntryWorkspace,
    RequestKind,
    ServiceShare,
    key_digest,
)

__all__ = ["CONFIGURATION_KIND", "CONFIGURATION_NAME", "decode_configuration"]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

_REQUEST_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}


def decode_configuration(value: bytes) -> Result[EntryConfiguration, str]:
    """Return a stored configuration, or an Err with the reason if it is invalid."""
    try:
        data = msgspec.json.decode(value)
        if not isinstance(data, dict):
            return Err("the configuration is not a JSON object")
        return Ok(
            EntryConfiguration(
                version=int(data["version"]),
                routes=tuple(
                    _decode_route(route) for route in data.get("routes") or ()
                ),
                services=tuple(
                    _decode_service(service) for service in data.get("services") or ()
                ),
                workspaces=tuple(
                    _decode_workspace(tenant) for tenant in data.get("tenants") or ()
                ),
                limits=_decode_limits(data.get("limits") or {}),
            )
        )
    except msgspec.DecodeError as exc:
        return Err(f"invalid JSON: {exc}")
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Err(f"unexpected layout: {exc!r}")


def _decode_route(route: dict) -> EntryRoute:
    split = route.get("trafficSplit") or ()
    shares = tuple(
        ServiceShare(share["service"], float(share.get("weight", 1))) for share in split
    )
    return EntryRoute(
        name=str(route.get("name", "")),
        host=route["host"].lower(),
        path_prefix=route["pathPrefix"],
        kind=_REQUEST_KINDS.get(route.get("kind"), RequestKind.UNSAFE),
        shares=shares or (ServiceShare(route["service"], 1.0),),
        timeout_s=float(route["timeoutMs"]) / 1000.0,
        # The target covers the whole response; for a stream, only the first event.
        target_s=float(route.get("targetLatencyMs") or route["timeoutMs"]) / 1000.0,
        max_attempts=max(1, int(route.get("maxAttempts") or 1)),
        priority=int(route.get("priority") or 0),
        is_open=bool(route.get("anonymous", False)),
        is_resumable=bool(route.get("resumable", False)),
        allowed_regions=_decode_regions(route),
    )


def _decode_regions(data: dict) -> tuple[str, ...]:
    """Return the regions of a restriction, none if it is absent or empty.

    A restriction that cannot be read must not be ignored.
    """
    regions = data.get("allowedRegions")
    if regions is None:
        return ()
    if not isinstance(regions, list) or not all(isinstance(x, str) for x in regions):
        raise ValueError(f"allowedRegions is {regions!r}")
    return tuple(regions)


def _decode_service(service: dict) -> EntryService:
    engine = service.get("engine")
    profile = None
    if isinstance(engine, dict) and engine.get("kvCapacityTokens"):
        profile = EngineProfile(
            slots=int(engine.get("slots") or 1),
            kv_tokens=int(engine["kvCapacityTokens"]),
            role_change_s=float(engine.get("switchS") or 6.0),
            handle_s=float(engine.get("kvRetentionS") or 0.5),
        )
    return EntryService(
        service["name"],
        profile,
        cold_start_s=_decode_amount(service, "coldStartS"),
        cold_per_s=_decode_amount(service, "coldPerS"),
    )


def _decode_amount(data: dict, field: str) -> float:
    """Return a number of 0 or more, 0 if it is absent."""
    amount = float(data.get(field) or 0.0)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f"{field} is {amount}")
    return amount


def _decode_workspace(tenant: dict) -> EntryWorkspace:
    priority = tenant.get("priority")
    return EntryWorkspace(
        name=tenant["name"],
        key_digests=tuple(key_digest(key) for key in tenant.get("apiKeys") or ()),
        priority=int(priority) if priority is not None else None,
        rate_per_s=float(tenant.get("ratePerS") or 0),
        burst=float(tenant.get("burst") or 0),
        plain_tokens=int(tenant.get("plainTokens") or 1),
        allowed_regions=_decode_regions(tenant),
    )


def _decode_limits(limits: dict) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=int(limits.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=int(limits.get("maxBodyBytes") or default.body_bytes),
        idle_s=float(limits.get("idleTimeoutMs") or default.idle_s * 1000) / 1000,
    )
