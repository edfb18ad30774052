"""Read the entries under which backend servers register in the users' store."""

import msgspec
from result import Err, Ok, Result

from sesameport.entry.servers import EntryServer
from sesameport.world import ServerRole, ServerState

__all__ = ["ROLES", "SERVER_KIND", "STAGES", "decode_server"]

SERVER_KIND = "servers"

_STATES = {"ready": ServerState.LIVE, "draining": ServerState.LEAVING}
ROLES = {
    "prefill": ServerRole.PREFILL,
    "decode": ServerRole.DECODE,
    "colocated": ServerRole.BOTH,
}
"""Roles by the name of a stage."""

STAGES = {role: stage for stage, role in ROLES.items()}
"""Names of stages by the role."""


def decode_server(name: str, value: bytes) -> Result[EntryServer, str]:
    """Turn a stored entry into the project's type, or say why it names no server.

    Other writers leave entries with missing or odd fields in the same place; such an
    entry must not be used.
    """
    try:
        data = msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err(f"unreadable: {exc}")
    if not isinstance(data, dict):
        return Err("the entry is no object")
    for field in ("service", "address", "zone", "state"):
        if not isinstance(data.get(field), str) or not data[field]:
            return Err(f"{field} is missing or no text")
    if data["state"] not in _STATES:
        return Err(f"unknown state {data['state']!r}")
    host, _, port = data["address"].rpartition(":")
    if not host or not port.isdigit():
        return Err("address is not IP:port")
    slots = data.get("slots", 1)
    if isinstance(slots, bool) or not isinstance(slots, int) or slots < 1:
        return Err("slots is no positive number")
    role = ServerRole.PLAIN
    if data.get("stage"):
        if data["stage"] not in ROLES:
            return Err(f"unknown stage {data['stage']!r}")
        role = ROLES[data["stage"]]
    born = data.get("born")
    return Ok(
        EntryServer(
            name=name,
            service=data["service"],
            address=data["address"],
            data_centre=data["zone"],
            role=role,
            state=_STATES[data["state"]],
            slots=slots,
            # Unix milliseconds of the start: a change means that it forgot everything.
            started_at_ms=born if isinstance(born, int) else 0,
        )
    )
