"""Read the configuration that the operator keeps in the users' store."""

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

_KINDS = {
    "safe": RequestKind.SAFE,
    "unsafe": RequestKind.UNSAFE,
    "streaming": RequestKind.STREAM,
}


def decode_configuration(value: bytes) -> Result[EntryConfiguration, str]:
    """Turn a stored configuration into the project's type, or say why not."""
    try:
        data = msgspec.json.decode(value)
        if not isinstance(data, dict):
            return Err("the configuration is no object")
        return Ok(
            EntryConfiguration(
                version=int(data["version"]),
                routes=tuple(_route(item) for item in data.get("routes") or ()),
                services=tuple(_service(item) for item in data.get("services") or ()),
                workspaces=tuple(
                    _workspace(item) for item in data.get("tenants") or ()
                ),
                limits=_limits(data.get("limits") or {}),
            )
        )
    except msgspec.DecodeError as exc:
        return Err(f"unreadable: {exc}")
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        return Err(f"unexpected layout: {exc!r}")


def _route(item: dict) -> EntryRoute:
    split = item.get("trafficSplit") or ()
    shares = tuple(
        ServiceShare(part["service"], float(part.get("weight", 1))) for part in split
    )
    return EntryRoute(
        name=str(item.get("name", "")),
        host=item["host"].lower(),
        path_prefix=item["pathPrefix"],
        kind=_KINDS.get(item.get("kind"), RequestKind.UNSAFE),
        shares=shares or (ServiceShare(item["service"], 1.0),),
        timeout_s=float(item["timeoutMs"]) / 1000.0,
        # The target is for the whole answer, on streams for the first event.
        target_s=float(item.get("targetLatencyMs") or item["timeoutMs"]) / 1000.0,
        max_attempts=max(1, int(item.get("maxAttempts") or 1)),
        priority=int(item.get("priority") or 0),
        is_open=bool(item.get("anonymous", False)),
        is_resumable=bool(item.get("resumable", False)),
    )


def _service(item: dict) -> EntryService:
    engine = item.get("engine")
    profile = None
    if isinstance(engine, dict) and engine.get("kvCapacityTokens"):
        profile = EngineProfile(
            slots=int(engine.get("slots") or 1),
            kv_tokens=int(engine["kvCapacityTokens"]),
            role_change_s=float(engine.get("switchS") or 6.0),
            handle_s=float(engine.get("kvRetentionS") or 0.5),
        )
    return EntryService(item["name"], profile)


def _workspace(item: dict) -> EntryWorkspace:
    priority = item.get("priority")
    return EntryWorkspace(
        name=item["name"],
        key_digests=tuple(key_digest(key) for key in item.get("apiKeys") or ()),
        priority=int(priority) if priority is not None else None,
        rate_per_s=float(item.get("ratePerS") or 0),
        burst=float(item.get("burst") or 0),
        plain_tokens=int(item.get("plainTokens") or 1),
    )


def _limits(table: dict) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=int(table.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=int(table.get("maxBodyBytes") or default.body_bytes),
        idle_s=float(table.get("idleTimeoutMs") or default.idle_s * 1000) / 1000,
    )
