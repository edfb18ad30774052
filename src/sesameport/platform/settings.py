"""Load the settings file that the users' platform writes for each process."""

import math
import tomllib

from sesameport.adapters.caller_limits.bounds import CallerBounds
from sesameport.domain import Finding
from sesameport.entry.settings import EntrySettings, FleetBounds

__all__ = ["is_platform_settings", "load_platform_settings"]

_REQUIRED_FIELDS = {
    "nodeName": str,
    "ip": str,
    "zone": str,
    "internalPorts": list,
    "listen.front": str,
    "listen.readyAddress": str,
    "platform.address": str,
}

_PLATFORM_BOUND_NAMES = {
    "grace_s": "graceS",
    "lease_s": "leaseMs",
    "retry_ratio": "retryBudgetRatio",
    "retry_window_s": "retryWindowS",
    "retry_slack": "retrySlack",
    "quota_window_s": "quotaWindowS",
    "cold_overshoot": "coldOvershoot",
    "cold_slack": "coldSlack",
    "evacuate_s": "evacuateMs",
    "drain_s": "drainMs",
    "contact_s": "contactMs",
    "heartbeat_s": "heartbeatMs",
}
"""Platform's names of the fields of ``FleetBounds``.

Values whose name ends in ``Ms`` are in milliseconds.
"""

_FIELDS_OUTSIDE_BOUNDS = frozenset({"heartbeatMs"})
"""Fields among them that do not stand in the table ``bounds``."""

_MACHINE_LIMIT_NAMES = {"memory_mb": "memoryMb", "max_fds": "maxFds"}
"""Platform's names of what `CallerBounds.for_machine` derives the bounds from."""

_CALLER_BOUND_NAMES = {
    "account_bytes": "accountBytes",
    "max_connections": "maxConnections",
    "max_threads": "maxThreads",
    "max_bodies": "maxBodies",
    "max_bodies_per_address": "maxBodiesPerAddress",
    "max_trailer_bytes": "maxTrailerBytes",
    "max_trailer_line_bytes": "maxTrailerLineBytes",
    "max_chunk_line_bytes": "maxChunkLineBytes",
    "max_extension_bytes": "maxExtensionBytes",
    "small_chunk_bytes": "smallChunkBytes",
    "max_expensive_bodies": "maxExpensiveBodies",
    "socket_buffer_bytes": "socketBufferBytes",
    "receive_buffer_bytes": "receiveBufferBytes",
    "max_peer_bytes": "maxPeerBytes",
    "max_peer_message_bytes": "maxPeerMessageBytes",
    "max_snapshot_bytes": "maxSnapshotBytes",
    "max_peer_queue_bytes": "maxPeerQueueBytes",
    "max_server_bytes": "maxServerBytes",
    "body_s": "bodyTimeoutMs",
    "min_body_rate": "minBodyBytesPerS",
}
"""Names, in ``callerBounds`` of the settings file, of the fields of ``CallerBounds``.

The platform may add fields to ``limits``, so they have a table of their own.
"""

_POSITIVE_BOUNDS = frozenset({"retryWindowS", "quotaWindowS", "contactMs"})
"""Bounds that must not be 0, because rates are counted over these times."""


def is_platform_settings(text: str) -> bool:
    """Return whether a settings file has the platform's layout."""
    try:
        return "nodeName" in tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return False


def load_platform_settings(
    text: str, file: str
) -> tuple[EntrySettings | None, list[Finding]]:
    """Return the settings, or None and a list of everything that is invalid.

    Unknown fields are ignored because the platform adds fields over time.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return None, [Finding(file, "syntax", str(exc))]
    findings = []
    for path, expected_type in _REQUIRED_FIELDS.items():
        value = _get_nested(data, path)
        if not isinstance(value, expected_type):
            message = f"expected {expected_type.__name__}, got {value!r}"
            findings.append(Finding(file, path, message))
            continue
        if path.startswith(("listen.", "platform.")) and not _is_address(value):
            findings.append(Finding(file, path, "expected IP:port"))
    ports = data.get("internalPorts")
    if isinstance(ports, list) and not (
        len(ports) == 2 and all(type(port) is int for port in ports)
    ):
        findings.append(Finding(file, "internalPorts", "expected two port numbers"))
    bounds, bound_findings = _parse_bounds(data, file)
    findings.extend(bound_findings)
    regions = data.get("zones", {})
    if not isinstance(regions, dict) or not all(
        isinstance(region, str) for region in regions.values()
    ):
        findings.append(Finding(file, "zones", "expected a table of texts"))
    limits, limit_findings = _parse_limits(data, file)
    findings.extend(limit_findings)
    if findings:
        return None, findings
    return (
        EntrySettings(
            name=data["nodeName"],
            data_centre=data["zone"],
            ip=data["ip"],
            caller_listen=data["listen"]["front"],
            ready_listen=data["listen"]["readyAddress"],
            peer_port=ports[0],
            store_address=data["platform"]["address"],
            seed_addresses=_seed_addresses(data.get("seeds"), ports[0]),
            bounds=bounds,
            regions=regions,
            limits=limits,
        ),
        [],
    )


def _seed_addresses(seeds, peer_port: int) -> tuple[str, ...]:
    """Return the peer addresses of the seed hosts.

    The port in a seed's entry is not the port on which that host listens for peers.
    """
    if not isinstance(seeds, list):
        return ()
    hosts = [text.rpartition(":")[0] for text in seeds if isinstance(text, str)]
    return tuple(f"{host}:{peer_port}" for host in hosts if host)


def _parse_bounds(data: dict, file: str) -> tuple[FleetBounds, list[Finding]]:
    findings, values, table = [], {}, data.get("bounds", {})
    if not isinstance(table, dict):
        return FleetBounds(), [Finding(file, "bounds", "expected a table")]
    for name, platform_name in _PLATFORM_BOUND_NAMES.items():
        is_outside = platform_name in _FIELDS_OUTSIDE_BOUNDS
        path = platform_name if is_outside else f"bounds.{platform_name}"
        fields = data if is_outside else table
        if platform_name not in fields:
            continue
        value = fields[platform_name]
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        must_be_positive = platform_name in _POSITIVE_BOUNDS
        if (
            not is_number
            or not 0 <= value < math.inf
            or (must_be_positive and value == 0)
        ):
            expected = "above 0" if must_be_positive else "of 0 or more"
            message = f"expected a number {expected}, got {value!r}"
            findings.append(Finding(file, path, message))
            continue
        values[name] = value / 1000.0 if platform_name.endswith("Ms") else float(value)
    return FleetBounds(**values), findings


def _parse_limits(data: dict, file: str) -> tuple[CallerBounds, list[Finding]]:
    """Return the bounds that follow from the machine and from stated ones."""
    findings, values = [], {}
    for table_name, names in (
        ("limits", _MACHINE_LIMIT_NAMES),
        ("callerBounds", _CALLER_BOUND_NAMES),
    ):
        table = data.get(table_name, {})
        if not isinstance(table, dict):
            findings.append(Finding(file, table_name, "expected a table"))
            continue
        for name, platform_name in names.items():
            if platform_name not in table:
                continue
            value = table[platform_name]
            is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
            if not is_number or not 0 < value < math.inf:
                message = f"expected a number above 0, got {value!r}"
                findings.append(Finding(file, f"{table_name}.{platform_name}", message))
                continue
            if platform_name.endswith("Ms"):
                values[name] = value / 1000.0
            elif platform_name.endswith("PerS"):
                values[name] = float(value)
            else:
                values[name] = max(1, int(value))
    return CallerBounds.for_machine(**values), findings


def _get_nested(data: dict, path: str):
    for key in path.split("."):
        if not isinstance(data, dict):
            return None
        data = data.get(key)
    return data


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and int(port) < 65_536
