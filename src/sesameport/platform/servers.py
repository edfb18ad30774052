"""Decode the registrations of backend servers in the users' store."""

import math

import msgspec
from result import Err, Ok, Result

from sesameport.domain import ServerRole, ServerState
from sesameport.entry.servers import EntryServer

__all__ = ["ROLES", "SERVER_KIND", "STAGES", "decode_server"]

SERVER_KIND = "servers"

_SERVER_STATES = {"ready": ServerState.LIVE, "draining": ServerState.LEAVING}
ROLES = {
    "prefill": ServerRole.PREFILL,
    "decode": ServerRole.DECODE,
    "colocated": ServerRole.BOTH,
}
"""Project's role for each stage of the platform."""

STAGES = {role: stage for stage, role in ROLES.items()}
"""Platform's stage for each role."""


def decode_server(name: str, value: bytes) -> Result[EntryServer, str]:
    """Return the server of a stored registration, or an Err with the reason.

    Other writers may leave entries with missing or invalid fields under the same kind.
    Such an entry must not be used.
    """
    try:
        data = msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err(f"invalid JSON: {exc}")
    if not isinstance(data, dict):
        return Err("the entry is not a JSON object")
    for field in ("service", "address", "zone", "state"):
        if not isinstance(data.get(field), str) or not data[field]:
            return Err(f"{field} is missing, empty or not a string")
    if data["state"] not in _SERVER_STATES:
        return Err(f"unknown state {data['state']!r}")
    host, _, port = data["address"].rpartition(":")
    if not host or not port.isdigit():
        return Err("address is not IP:port")
    slots = data.get("slots", 1)
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        return Err("slots is not a positive integer")
    role = ServerRole.PLAIN
    if data.get("stage"):
        if data["stage"] not in ROLES:
            return Err(f"unknown stage {data['stage']!r}")
        role = ROLES[data["stage"]]
    started_at_ms = data.get("born")
    return Ok(
        EntryServer(
            name=name,
            service=data["service"],
            address=data["address"],
            data_centre=data["zone"],
            role=role,
            state=_SERVER_STATES[data["state"]],
            slots=slots,
            # Start time in Unix milliseconds. A new value means that the replica has
            # restarted and lost its state.
            started_at_ms=started_at_ms if isinstance(started_at_ms, int) else 0,
            cold_remaining_s=_decode_cold_s(data.get("coldRemainingMs")),
        )
    )


def _decode_cold_s(remaining_ms: object) -> float:
    """Return a remaining cold time in seconds, 0 if it is absent or no number."""
    if isinstance(remaining_ms, bool) or not isinstance(remaining_ms, int | float):
        return 0.0
    return remaining_ms / 1000.0 if 0.0 < remaining_ms < math.inf else 0.0
