"""Decode the configuration that the operator keeps in the users' store."""

from result import Err, Ok, Result

from sesameport.adapters.caller_limits.bounds import CallerLimits
from sesameport.entry.configuration import (
    EngineProfile,
    EntryConfiguration,
    EntryRoute,
    EntryService,
    EntryWorkspace,
    RequestKind,
    ServiceShare,
    key_digest,
)
from sesameport.platform.json_members import decode_json

__all__ = ["CONFIGURATION_KIND", "CONFIGURATION_NAME", "decode_configuration"]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

MAX_NUMBER = 2.0**53
"""Largest number in a configuration. Hosts send configurations to each other, and
larger integers are not exact as floating-point numbers."""

_REQUEST_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}


def decode_configuration(value: bytes) -> Result[EntryConfiguration, str]:
    """Return a stored configuration, or an Err with the reason if it is invalid."""
    match decode_json(value):
        case Ok(dict(data)):
            pass
        case Ok(_):
            return Err("the configuration is not a JSON object")
        case Err(reason):
            return Err(reason)
    try:
        return Ok(
            EntryConfiguration(
                version=_integer(data["version"]),
                routes=tuple(_decode_route(route) for route in _items(data, "routes")),
                services=tuple(
                    _decode_service(service) for service in _items(data, "services")
                ),
                workspaces=tuple(
                    _decode_workspace(tenant) for tenant in _items(data, "tenants")
                ),
                limits=_decode_limits(data.get("limits") or {}),
            )
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as exc:
        return Err(f"unexpected layout: {exc!r}")


def _decode_route(route: dict) -> EntryRoute:
    shares = tuple(
        ServiceShare(_text(share, "service"), _weight(share.get("weight", 1)))
        for share in _items(route, "trafficSplit")
    )
    if shares and not any(share.weight for share in shares):
        raise ValueError("trafficSplit without a weight")
    return EntryRoute(
        name=str(route.get("name", "")),
        host=_text(route, "host").lower(),
        path_prefix=_text(route, "pathPrefix"),
        kind=_REQUEST_KINDS.get(route.get("kind"), RequestKind.UNSAFE),
        shares=shares or (ServiceShare(_text(route, "service"), 1.0),),
        timeout_s=_number(route["timeoutMs"]) / 1000.0,
        # The target covers the whole response; for a stream, only the first event.
        target_s=_number(route.get("targetLatencyMs") or route["timeoutMs"]) / 1000.0,
        max_attempts=max(1, _integer(route.get("maxAttempts") or 1)),
        priority=_integer(route.get("priority") or 0),
        is_open=_flag(route, "anonymous"),
        is_resumable=_flag(route, "resumable"),
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
            slots=_integer(engine.get("slots") or 1),
            kv_tokens=_integer(engine["kvCapacityTokens"]),
            role_change_s=_number(engine.get("switchS") or 6.0),
            handle_s=_number(engine.get("kvRetentionS") or 0.5),
            max_lease_s=_decode_amount(engine, "holdMs") / 1000.0,
        )
    return EntryService(
        _text(service, "name"),
        profile,
        cold_start_s=_decode_amount(service, "coldStartS"),
        cold_per_s=_decode_amount(service, "coldPerS"),
    )


def _decode_amount(data: dict, field: str) -> float:
    """Return a number of 0 or more, 0 if it is absent."""
    amount = _number(data.get(field) or 0.0)
    if amount < 0.0:
        raise ValueError(f"{field} is {amount}")
    return amount


def _decode_workspace(tenant: dict) -> EntryWorkspace:
    priority = tenant.get("priority")
    return EntryWorkspace(
        name=_text(tenant, "name"),
        key_digests=tuple(key_digest(key) for key in _items(tenant, "apiKeys")),
        priority=_integer(priority) if priority is not None else None,
        rate_per_s=_number(tenant.get("ratePerS") or 0),
        burst=_number(tenant.get("burst") or 0),
        plain_tokens=_integer(tenant.get("plainTokens") or 1),
        allowed_regions=_decode_regions(tenant),
    )


def _decode_limits(limits: dict) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=_integer(limits.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=_integer(limits.get("maxBodyBytes") or default.body_bytes),
        idle_s=_number(limits.get("idleTimeoutMs") or default.idle_s * 1000) / 1000,
    )


def _items(table: dict, field: str) -> list:
    """Return the items of a list, none if it is missing.

    Raises
    ------
    TypeError
        If it is not a list. The characters of a text would pass as items, for example
        as API keys.
    """
    items = table.get(field)
    if items is not None and not isinstance(items, list):
        raise TypeError(f"{field} is not a list")
    return items or []


def _text(table: dict, field: str) -> str:
    if not isinstance(table[field], str):
        raise TypeError(f"{field} is not a string")
    return table[field]


def _flag(table: dict, field: str) -> bool:
    """Return a flag; any text, also "false", would be true."""
    if not isinstance(table.get(field), bool | None):
        raise TypeError(f"{field} is not true or false")
    return bool(table.get(field))


def _number(value) -> float:
    number = float(value)
    if not abs(number) <= MAX_NUMBER:
        raise ValueError(f"{number} is out of range")
    return number


def _integer(value) -> int:
    return int(_number(value))


def _weight(value) -> float:
    weight = _number(value)
    if weight < 0:
        raise ValueError(f"negative weight {weight}")
    return weight
