"""Read the state of replicas and order them; satisfies ``EngineOrderClient``."""

import socket

import msgspec
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.sockets import SERVER_OPTIONS
from sesameport.entry.role_controller import EngineState, RoleChange
from sesameport.entry.servers import EntryServer
from sesameport.platform import names
from sesameport.platform.servers import ROLES, STAGES

__all__ = ["ReplicaOrders"]

TIMEOUT_S = 0.6
"""Bound of one call, seconds; an order has to be sent soon after the lease's write."""

_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1), *SERVER_OPTIONS]
_OUTCOMES = {200: "holds", 202: "accepted", 409: "conflict", 412: "fenced"}


class ReplicaOrders:
    """Call replicas about their stage."""

    def state(self, server: EntryServer) -> Result[EngineState, str]:
        """Read the report of a replica."""
        headers = {names.EXPECT_INSTANCE: server.name}
        match self._call("GET", server, "/v1/report", headers):
            case Err(reason):
                return Err(reason)
            case Ok((status, data)):
                pass
        if status != 200:
            return Err(f"status {status}")
        try:
            body = msgspec.json.decode(data)
            # `sequence` counts the orders here, not the heartbeats as in the list.
            return Ok(
                EngineState(ROLES[body["stage"]], bool(body["busy"]), body["sequence"])
            )
        except (msgspec.DecodeError, KeyError, TypeError) as exc:
            return Err(f"unreadable report: {exc!r}")

    def change_role(
        self, change: RoleChange, holder: str, epoch: int, orders_taken: int
    ) -> Result[str, str]:
        """Order a replica to change its stage."""
        body = {
            "operation": "stage",
            "stage": STAGES[change.role],
            "holder": holder,
            "fencingToken": epoch,
            "precondition": orders_taken,
        }
        headers = {
            "Content-Type": "application/json",
            names.EXPECT_INSTANCE: change.server.name,
        }
        data = msgspec.json.encode(body)
        return self._call("POST", change.server, "/v1/order", headers, data).map(
            lambda answer: _OUTCOMES.get(answer[0], f"status-{answer[0]}")
        )

    def _call(self, method, server, path, headers, body=None):
        host, _, port = server.address.rpartition(":")
        pool = urllib3.HTTPConnectionPool(
            host, int(port), retries=False, socket_options=_OPTIONS
        )
        try:
            answer = pool.urlopen(
                method,
                path,
                body=body,
                headers=headers,
                timeout=TIMEOUT_S,
                retries=False,
                redirect=False,
            )
            return Ok((answer.status, answer.data))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(repr(exc))
        finally:
            pool.close()
