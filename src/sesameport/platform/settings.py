"""Read the settings file that the users' platform writes for a process."""

import tomllib

import attrs

from sesameport.entry.settings import EntrySettings, FleetBounds
from sesameport.world import Finding

__all__ = ["is_platform_settings", "load_platform_settings"]

_REQUIRED = {
    "nodeName": str,
    "ip": str,
    "zone": str,
    "internalPorts": list,
    "listen.front": str,
    "listen.readyAddress": str,
    "platform.address": str,
}

# The platform's bounds by the project's name; a name that ends in Ms is in
# milliseconds there.
_BOUNDS = {
    "grace_s": "graceS",
    "lease_s": "leaseMs",
    "retry_ratio": "retryBudgetRatio",
    "retry_window_s": "retryWindowS",
    "retry_slack": "retrySlack",
}


def is_platform_settings(text: str) -> bool:
    """Tell whether a settings file has the platform's layout."""
    try:
        return "nodeName" in tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return False


def load_platform_settings(
    text: str, file: str
) -> tuple[EntrySettings | None, list[Finding]]:
    """Read the platform's settings and return them with all findings.

    Fields that are not known are ignored, since the platform adds fields over time.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return None, [Finding(file, "syntax", str(exc))]
    findings = []
    for path, kind in _REQUIRED.items():
        value = _find(data, path)
        if not isinstance(value, kind):
            message = f"expected {kind.__name__}, got {value!r}"
            findings.append(Finding(file, path, message))
            continue
        if path.startswith(("listen.", "platform.")) and not _is_address(value):
            findings.append(Finding(file, path, "expected IP:port"))
    ports = data.get("internalPorts")
    if isinstance(ports, list) and not (
        len(ports) == 2 and all(isinstance(port, int) for port in ports)
    ):
        findings.append(Finding(file, "internalPorts", "expected two port numbers"))
    bounds, bound_findings = _bounds(data.get("bounds", {}), file)
    findings.extend(bound_findings)
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
        ),
        [],
    )


def _seed_addresses(seeds, peer_port: int) -> tuple[str, ...]:
    """Return where hosts listen for peers: seeds name another port of theirs."""
    if not isinstance(seeds, list):
        return ()
    hosts = [text.rpartition(":")[0] for text in seeds if isinstance(text, str)]
    return tuple(f"{host}:{peer_port}" for host in hosts if host)


def _bounds(table, file: str) -> tuple[FleetBounds, list[Finding]]:
    findings, values = [], {}
    known = {field.name for field in attrs.fields(FleetBounds)}
    for name, wire_name in _BOUNDS.items():
        if name not in known or wire_name not in table:
            continue
        value = table[wire_name]
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
            message = f"expected a number of 0 or more, got {value!r}"
            findings.append(Finding(file, f"bounds.{wire_name}", message))
            continue
        values[name] = value / 1000.0 if wire_name.endswith("Ms") else float(value)
    return FleetBounds(**values), findings


def _find(data: dict, path: str):
    for part in path.split("."):
        if not isinstance(data, dict):
            return None
        data = data.get(part)
    return data


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and int(port) < 65_536
