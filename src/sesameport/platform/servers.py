"""Decode the registrations of backend servers in the users' store."""

from result import Err, Ok, Result

from sesameport.domain import ServerRole, ServerState
from sesameport.entry.host_addresses import is_address
from sesameport.entry.servers import EntryServer
from sesameport.platform.json_members import decode_json

__all__ = ["ROLES", "SERVER_KIND", "STAGES", "decode_server"]

SERVER_KIND = "servers"

MAX_COLD_MS = 3_600_000.0
"""Longest cold time that an entry can state, milliseconds. A faulty writer may state
any number."""

_SERVER_STATES = {"ready": ServerState.LIVE, "draining": ServerState.LEAVING}
MAX_SLOTS = 1_000_000
"""Largest number of concurrent requests of a server that counts as valid."""

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
    if not (name.isascii() and name.isprintable() and " " not in name and name):
        return Err("the name is empty or cannot stand in a header")
    match decode_json(value):
        case Err(reason):
            return Err(reason)
        case Ok(data):
            pass
    if not isinstance(data, dict):
        return Err("the entry is not a JSON object")
    for field in ("service", "address", "zone", "state"):
        if not isinstance(data.get(field), str) or not data[field]:
            return Err(f"{field} is missing, empty or not a string")
    if data["state"] not in _SERVER_STATES:
        return Err(f"unknown state {data['state']!r}")
    if not is_address(data["address"]):
        return Err("address is not IP:port")
    slots = data.get("slots", 1)
    if type(slots) is not int or not 1 <= slots <= MAX_SLOTS:
        return Err("slots is not a positive integer")
    role = ServerRole.PLAIN
    stage = data.get("stage")
    if stage:
        if not isinstance(stage, str) or stage not in ROLES:
            return Err(f"unknown stage {stage!r}")
        role = ROLES[stage]
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
            started_at_ms=started_at_ms if _is_time_ms(started_at_ms) else 0,
            cold_remaining_s=_decode_cold_s(data.get("coldRemainingMs")),
        )
    )


def _decode_cold_s(remaining_ms: object) -> float:
    """Return a remaining cold time in seconds, 0 if it is absent or no number."""
    if type(remaining_ms) not in (int, float):
        return 0.0
    return remaining_ms / 1000.0 if 0.0 < remaining_ms < MAX_COLD_MS else 0.0


def _is_time_ms(value) -> bool:
    """Return whether a value is a time in Unix milliseconds that other hosts decode."""
    return type(value) is int and 0 <= value < 2**63
