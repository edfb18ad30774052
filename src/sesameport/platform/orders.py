"""Read the state of replicas and send them orders.

``ReplicaOrderClient`` implements ``EngineOrderClient`` of ``sesameport.entry``.
"""

import msgspec
from result import Err, Ok, Result

from sesameport.entry.role_controller import EngineState, RoleChange
from sesameport.entry.server_notices import OnNotice
from sesameport.entry.servers import EntryServer
from sesameport.platform import header_names
from sesameport.platform.notices import report_notice
from sesameport.platform.servers import ROLES, STAGES
from sesameport.platform.short_calls import make_short_call

__all__ = ["ReplicaOrderClient"]

CALL_TIMEOUT_S = 0.6
"""Timeout of one call, seconds.

An order is valid only for a short time after the write of the lease.
"""

_OUTCOME_BY_STATUS = {200: "holds", 202: "accepted", 409: "conflict", 412: "fenced"}


class ReplicaOrderClient:
    """Read the stages of replicas and order stage changes.

    Parameters
    ----------
    on_notice : callable
        Called with what each answer says of its replica.
    """

    def __init__(self, on_notice: OnNotice):
        self._on_notice = on_notice

    def read_state(self, server: EntryServer) -> Result[EngineState, str]:
        """Return the state in a replica's report, or an Err with the reason."""
        headers = {header_names.EXPECT_INSTANCE: server.name}
        match self._request("GET", server, "/v1/report", headers):
            case Err(reason):
                return Err(reason)
            case Ok((status, data)):
                pass
        if status != 200:
            return Err(f"status {status}")
        try:
            body = msgspec.json.decode(data)
            # In a report `sequence` counts orders; in a registration, heartbeats.
            return Ok(
                EngineState(ROLES[body["stage"]], bool(body["busy"]), body["sequence"])
            )
        except (ValueError, RecursionError, KeyError, TypeError) as exc:
            return Err(f"invalid report: {exc!r}")

    def change_role(
        self, change: RoleChange, holder: str, epoch: int, orders_taken: int
    ) -> Result[str, str]:
        """Order a replica to change its stage and return its outcome."""
        body = {
            "operation": "stage",
            "stage": STAGES[change.role],
            "holder": holder,
            "fencingToken": epoch,
            "precondition": orders_taken,
        }
        headers = {
            "Content-Type": "application/json",
            header_names.EXPECT_INSTANCE: change.server.name,
        }
        data = msgspec.json.encode(body)
        return self._request("POST", change.server, "/v1/order", headers, data).map(
            lambda response: _OUTCOME_BY_STATUS.get(
                response[0], f"status-{response[0]}"
            )
        )

    def _request(
        self, method: str, server: EntryServer, path: str, headers, body=None
    ) -> Result[tuple[int, bytes], str]:
        match make_short_call(
            server.address, method, path, headers, CALL_TIMEOUT_S, body
        ):
            case Err(reason):
                return Err(reason)
            case Ok(answer):
                pass
        report_notice(self._on_notice, server.name, answer.status, answer.headers)
        return Ok((answer.status, answer.body))
