"""Admit plain requests and choose their servers.

A plain request waits only for a permit, where all servers that could run it name a
limit and no other host has said yet when there is one.
"""

from collections.abc import Callable, Mapping

import attrs
import pykka

from sesameport.admission import (
    FleetUse,
    ServerHealth,
    ServerUse,
    WindowedRetryBudget,
    choose_plain_server,
)
from sesameport.entry import messages as m
from sesameport.entry.candidate_servers import CandidateServers
from sesameport.entry.permit_exchange import PermitExchange
from sesameport.entry.servers import EntryServer
from sesameport.telemetry.logs import get_logger

__all__ = ["PlainAdmission"]

MAX_PERMIT_WAIT_S = 0.15
"""Longest wait for a permit, seconds, of the order of the callers' latency targets."""

MIN_RETRY_AFTER_S = 0.1
"""Shortest Retry-After where all servers name limits, seconds."""

log = get_logger("entry")


@attrs.define
class _Waiting:
    req: m.AdmitPlain
    until: float
    future: pykka.Future


class PlainAdmission:
    """Choose the servers of plain requests of one host; not thread-safe.

    Parameters
    ----------
    data_centre : str
        Data centre of this host.
    candidates, health, use, budget
        Usable servers, their health and use, and the budget of retries.
    permits : PermitExchange
        Permits for servers that name a limit.
    retry_delay_s : callable
        Returns the Retry-After where no server is usable, seconds.
    wake_at : callable
        Schedules a call of `place_waiting` at a monotonic time.
    time_factors : callable
        Returns the service times of a service's servers that differ from the typical
        one, as multiples of it.
    """

    def __init__(
        self,
        data_centre: str,
        candidates: CandidateServers,
        health: ServerHealth,
        use: FleetUse,
        budget: WindowedRetryBudget,
        permits: PermitExchange,
        retry_delay_s: Callable[[], float],
        wake_at: Callable[[float], None],
        time_factors: Callable[[str, float], Mapping[str, float]],
    ):
        self._data_centre = data_centre
        self._candidates = candidates
        self._health = health
        self._use = use
        self._budget = budget
        self._permits = permits
        self._retry_delay_s = retry_delay_s
        self._wake_at = wake_at
        self._time_factors = time_factors
        self._waiting: list[_Waiting] = []

    def admit(self, req: m.AdmitPlain, now: float) -> m.PlainReply:
        """Return the server of a request, a refusal, or a future of one of these."""
        waiting = _Waiting(req, now + MAX_PERMIT_WAIT_S, pykka.ThreadingFuture())
        reply = self._place(waiting, now, len(self._waiting))
        if reply is not None:
            return reply
        self._waiting.append(waiting)
        self._wake_at(waiting.until)
        return waiting.future

    def place_waiting(self, now: float) -> None:
        """Place or refuse the requests that wait for a permit."""
        rank = 0
        for waiting in list(self._waiting):
            reply = self._place(waiting, now, rank)
            if reply is None:
                rank += 1
                continue
            self._waiting.remove(waiting)
            waiting.future.set(reply)

    def cancel_wait(self, message: m.CancelPlainWait) -> None:
        """Remove a request that nobody waits for, or release the server that it got."""
        before = len(self._waiting)
        self._waiting = [
            waiting for waiting in self._waiting if waiting.future is not message.reply
        ]
        if len(self._waiting) < before:
            return
        admitted = message.reply.get(timeout=0)
        if isinstance(admitted, m.Admitted):
            self._use.add_local(admitted.plain.name, ServerUse(0.0, -1, 0.0))

    def _place(
        self, waiting: _Waiting, now: float, rank: int
    ) -> m.Admitted | m.Refused | None:
        """Return the server or a refusal, or None if the request should wait.

        ``rank`` is the number of requests that wait before it.
        """
        req = waiting.req
        candidates = [
            server
            for server in self._candidates.usable(req, now)
            if server.name not in req.excluded
        ]
        server = self._choose(req.service, candidates, now)
        self._ask(candidates, server, now)
        if server is None:
            server = self._choose(req.service, candidates, now)
        if server is None:
            return self._refuse_or_wait(waiting, candidates, now, rank)
        if not self._budget.spend(req.service, now, req.repeats):
            return m.Refused("no-retry-budget", self._retry_delay_s())
        self._permits.take(server.name, now)
        self._use.add_local(server.name, ServerUse(0.0, 1, 0.0))
        return m.Admitted(plain=server)

    def _choose(self, service: str, candidates, now: float) -> EntryServer | None:
        """Return a server, a cold one only if the others are full."""
        if not self._permits.has_limits(now):
            return self._choose_among(candidates, self._time_factors(service, now))
        usable = self._permits.usable(candidates, now)
        warm = [item for item in usable if not self._permits.is_cold(item.name, now)]
        factors = self._time_factors(service, now)
        server = self._choose_among(warm, factors)
        if len(warm) == len(usable) or (server and not self._is_full(server)):
            return server
        return self._choose_among(usable, factors)

    def _choose_among(
        self, servers: list[EntryServer], time_factors: Mapping[str, float]
    ) -> EntryServer | None:
        return choose_plain_server(
            self._data_centre,
            servers,
            self._use,
            self._health.cost_factor,
            time_factors=time_factors,
        )

    def _ask(
        self, candidates: list[EntryServer], server: EntryServer | None, now: float
    ) -> None:
        """Request permits if the servers without a limit are full, or there is none."""
        need = len(self._waiting) + 1
        if server is None or self._is_full(server):
            limited = [
                item.name
                for item in candidates
                if self._permits.is_limited(item.name, now)
            ]
            self._permits.ask_limited(limited, need, now)
            return
        self._permits.ask(candidates, need, now)

    def _is_full(self, server: EntryServer) -> bool:
        return self._use.total_for(server.name).active_requests >= server.slots

    def _refuse_or_wait(
        self,
        waiting: _Waiting,
        candidates: list[EntryServer],
        now: float,
        rank: int,
    ) -> m.Refused | None:
        if not candidates:
            reason = self._candidates.plain_shortage(waiting.req, now)
            return m.Refused(reason, self._retry_delay_s())
        wait = self._permits.wait_for(candidates, rank, now)
        ends_at = now if wait is None else now + wait.seconds
        if now < waiting.until and ends_at < waiting.until:
            return None
        wait_s = self._retry_delay_s() if wait is None else wait.seconds
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        log.info(
            "plain request beyond the limits",
            extra={
                "request_id": waiting.req.request_id,
                "service": waiting.req.service,
                "retry_after_s": round(retry_after_s, 2),
            },
        )
        return m.Refused("server-limits", retry_after_s)
