"""Get permits for limited servers from the hosts that issue them.

The issuer of a server is chosen among the hosts that report. Hosts that receive no
reports of each other may choose different ones. Each issuer therefore issues only the
part of the limit that corresponds to the share of the fleet that reports to it. A host
without a reply sends nothing.

The rate of a cold server holds in each second. Its permits follow `COLD_PACING`, their
replies are matched to requests, and a share that has just grown is not issued in full;
see `IssueShares`.
"""

import math
import random
from collections.abc import Callable, Iterable

import attrs

from sesameport.admission import (
    COLD_PACING,
    FleetUse,
    PermitIssuer,
    PermitStock,
    RequestLimits,
    choose_issuer,
)
from sesameport.entry import messages as m
from sesameport.entry.issue_shares import IssueShares
from sesameport.entry.servers import EntryServer
from sesameport.telemetry.logs import get_logger

__all__ = ["PermitExchange", "PermitWait"]

REPLY_TIMEOUT_S = 0.3
"""Time after which a request for permits counts as lost, seconds."""

START_PAUSE_S = 3.0
"""Time after the start in which a host without a listing of the hosts issues no
permits, seconds. Until then it may not know all others."""

FORECAST_LIFETIME_S = 0.5
"""Time for which the forecast of a reply is used after a further permit may be free,
seconds. The servers of a service are asked one after the other."""

NOT_ISSUER_RETRY_S = 0.3
"""Time after which to ask again where a host does not issue permits yet, or where hosts
disagree on the issuer, seconds."""

REFRESH_S = 5.0
"""Time after the last answer of a limited server at which a request is sent there
although others are free, seconds. Its answer shows whether the limit still holds."""

MAX_ASKED = 8
"""Largest number of permits that are requested at a time."""

log = get_logger("entry")


@attrs.frozen
class PermitWait:
    """Represent the wait of a request for a permit.

    Attributes
    ----------
    seconds : float
        Time until it gets one, or the forecast of that time, seconds.
    is_reserved : bool
        Whether this host has the permit.
    """

    seconds: float
    is_reserved: bool


@attrs.define
class _Ask:
    at: float
    count: int
    ask_id: int = 0


@attrs.define
class _Denial:
    retry_at: float
    expected_at: float


class PermitExchange:
    """Hold and request the permits of one host, and issue those of some servers.

    It is not thread-safe.

    Parameters
    ----------
    host : str
        Name of this host.
    limits : RequestLimits
        Limits that servers name, and the rates of cold servers.
    use : FleetUse
        Knows the hosts that report.
    publish : callable
        Sends `PermitRequest` and `PermitReply` to the host that they name.
    wake_at : callable
        Schedules a placement of waiting requests at a monotonic time.
    rng : random.Random
        Chooses the servers to ask for.
    started_at : float
        Monotonic time at which the host started, seconds.
    """

    def __init__(
        self,
        host: str,
        limits: RequestLimits,
        use: FleetUse,
        publish: Callable[[m.PermitRequest | m.PermitReply], None],
        wake_at: Callable[[float], None],
        rng: random.Random,
        started_at: float = -math.inf,
    ):
        self._host = host
        self._limits = limits
        self._use = use
        self._publish = publish
        self._wake_at = wake_at
        self._rng = rng
        self._issues_from = started_at + START_PAUSE_S
        self._issuer = PermitIssuer()
        self._cold_issuer = PermitIssuer()
        self._shares = IssueShares(host)
        self._stock = PermitStock()
        self._asks: dict[str, _Ask] = {}
        self._denials: dict[str, _Denial] = {}
        self._fleet_size = 1
        self._is_fleet_known = False

    def set_fleet(self, size: int, is_known: bool) -> None:
        """Set the number of hosts and whether the platform's store listed them."""
        self._fleet_size = size
        self._is_fleet_known = is_known

    def usable(self, servers: list[EntryServer], now: float) -> list[EntryServer]:
        """Return the servers that may get a request now."""
        if not self.has_limits(now):
            return servers
        return [server for server in servers if self.may_send(server.name, now)]

    def may_send(self, server: str, now: float) -> bool:
        """Return whether a server has no limit or this host has a permit for it."""
        if not self.is_limited(server, now):
            return True
        return min(self._starts(server, now), default=math.inf) <= now

    def has_limits(self, now: float) -> bool:
        """Return whether any server has a limit."""
        return self._limits.has_limits(now)

    def is_limited(self, server: str, now: float) -> bool:
        """Return whether a server has a limit, perhaps because it is cold."""
        return self._limits.limit_of(server, now) is not None

    def is_cold(self, server: str, now: float) -> bool:
        """Return whether a server is cold."""
        return self._limits.is_cold(server, now)

    def take(self, server: str, now: float) -> bool:
        """Use up a permit for a request; return False if it must not be sent."""
        if not self.is_limited(server, now):
            return True
        return self._stock.take(server, now, self.is_cold(server, now))

    def ask(self, servers: Iterable[EntryServer], need: int, now: float) -> None:
        """Request permits for ``need`` requests that any of the servers can serve.

        If one of the servers has no limit, a permit is requested only to find out
        whether a limit still holds. None is requested for cold servers: a cold time
        ends by itself, and their unused permits are not issued again.
        """
        if not self.has_limits(now):
            return
        servers = list(servers)
        limited = [item.name for item in servers if self.is_limited(item.name, now)]
        if len(limited) < len(servers):
            limited = [
                name
                for name in limited
                if self._limits.stated_age_s(name, now) > REFRESH_S
            ]
            need = len(limited)
        limited = [name for name in limited if not self.is_cold(name, now)]
        self.ask_limited(limited, need, now)

    def ask_limited(self, limited: list[str], need: int, now: float) -> None:
        """Request permits for ``need`` requests of the named limited servers."""
        need -= sum(self._expected(name, now) for name in limited)
        for name in self._rng.sample(limited, len(limited)):
            if need <= 0:
                return
            if self._is_pending(name, now) or self._is_denied(name, now):
                continue
            count = min(need, MAX_ASKED)
            need -= count
            self._ask_for(name, count, now)

    def wait_for(
        self, servers: list[EntryServer], rank: int, now: float
    ) -> PermitWait | None:
        """Return the wait for a permit of one of the servers.

        ``rank`` is the number of requests on this host that get permits before. Return
        None if one of the servers has no limit or if the wait is not known.
        """
        starts: list[float] = []
        forecasts = []
        for server in servers:
            name = server.name
            if not self.is_limited(name, now):
                return None
            starts.extend(self._starts(name, now))
            denial = self._denials.get(name)
            if denial is not None and now < denial.retry_at + FORECAST_LIFETIME_S:
                forecasts.append(max(0.0, denial.expected_at - now))
        if rank < len(starts):
            return PermitWait(max(0.0, sorted(starts)[rank] - now), True)
        if not servers or len(forecasts) < len(servers):
            return None
        rounds = 1 + (rank - len(starts)) // len(servers)
        return PermitWait(min(forecasts) * rounds, False)

    def handle_request(self, request: m.PermitRequest, now: float) -> None:
        """Issue permits to another host."""
        reply = self._issue(request, now)
        self._publish(attrs.evolve(reply, to_host=request.from_host))

    def handle_reply(self, reply: m.PermitReply, now: float) -> None:
        """Add issued permits, or remember until when there are none."""
        name = reply.server
        ask = self._asks.get(name)
        if reply.ask_id:
            # A late reply to an earlier request does not show when it was issued.
            if ask is None or ask.ask_id != reply.ask_id:
                return
            self._stock.add(name, reply.delays, now, ask.at)
        else:
            self._stock.add(name, reply.delays, now)
        self._asks.pop(name, None)
        self._denials.pop(name, None)
        for delay in reply.delays:
            self._wake_at(now + delay)
        if ask is not None and len(reply.delays) < ask.count:
            retry_at = now + reply.retry_s * self._rng.uniform(1.0, 1.2)
            self._denials[name] = _Denial(retry_at, now + reply.wait_s)
            self._wake_at(retry_at)

    def expire(self, now: float) -> None:
        """Forget servers without a limit, and record the hosts that are heard."""
        self._record_hosts(now)
        for entries in (self._asks, self._denials):
            for name in [name for name in entries if not self.is_limited(name, now)]:
                del entries[name]

    def _ask_for(self, name: str, count: int, now: float) -> None:
        is_cold = self.is_cold(name, now)
        ask_id = 1 + self._rng.getrandbits(31) if is_cold else 0
        self._asks[name] = _Ask(now, count, ask_id)
        issuer = choose_issuer(name, [self._host, *self._use.hosts()])
        limit = self._limits.limit_of(name, now)
        unused = self._stock.pop_unused(name, now)
        request = m.PermitRequest(
            issuer, self._host, name, limit, count, unused, ask_id
        )
        if issuer == self._host:
            self.handle_reply(self._issue(request, now), now)
            return
        self._publish(request)
        self._wake_at(now + REPLY_TIMEOUT_S)

    def _issue(self, request: m.PermitRequest, now: float) -> m.PermitReply:
        hosts = [self._host, *self._use.hosts()]
        name = request.server
        if choose_issuer(name, hosts) != self._host:
            return _deny(request, NOT_ISSUER_RETRY_S)
        if not self._is_fleet_known and now < self._issues_from:
            return _deny(request, NOT_ISSUER_RETRY_S)
        known = self._limits.limit_of(name, now)
        limit = (
            request.limit_per_s if known is None else min(known, request.limit_per_s)
        )
        if request.ask_id:
            return self._issue_cold(request, limit, now)
        if self.is_cold(name, now):
            # The requesting host does not know it yet, or its build cannot.
            return _deny(request, NOT_ISSUER_RETRY_S)
        share = len(hosts) / max(len(hosts), self._fleet_size)
        grant = self._issuer.issue(
            name, request.from_host, request.count, limit * share, now, request.unused
        )
        return m.PermitReply("", name, grant.delays, grant.retry_s, grant.wait_s)

    def _issue_cold(
        self, request: m.PermitRequest, per_s: float, now: float
    ) -> m.PermitReply:
        """Issue permits of a cold server, which takes ``per_s`` requests per second."""
        bounds = self._limits.cold.bounds
        if bounds is None:
            return _deny(request, NOT_ISSUER_RETRY_S)
        self._record_hosts(now)
        share = self._shares.share_of(request.server, now)
        allowed = share.allowed(bounds.early_share())
        if allowed <= 0.0:
            return _deny(request, NOT_ISSUER_RETRY_S)
        grant = self._cold_issuer.issue(
            request.server,
            request.from_host,
            request.count,
            self._limits.cold.issue_rate(request.server, per_s) * allowed,
            now,
            pacing=COLD_PACING,
            phase=self._rng.random() if share.present < 1.0 else 0.0,
        )
        return m.PermitReply(
            "",
            request.server,
            grant.delays,
            grant.retry_s,
            grant.wait_s,
            request.ask_id,
        )

    def _record_hosts(self, now: float) -> None:
        """Record the hosts that are heard, for the shares of cold rates.

        A host that knows no other and no listing may be cut off from a fleet.
        """
        is_known = self._is_fleet_known or self._fleet_size > 1
        size = self._fleet_size if is_known else 0
        self._shares.record([self._host, *self._use.hosts()], size, now)

    def _starts(self, name: str, now: float) -> list[float]:
        return self._stock.starts(name, now, self.is_cold(name, now))

    def _expected(self, name: str, now: float) -> int:
        """Return the permits that this host has or has requested."""
        asked = self._asks[name].count if self._is_pending(name, now) else 0
        return len(self._starts(name, now)) + asked

    def _is_pending(self, name: str, now: float) -> bool:
        return name in self._asks and now < self._asks[name].at + REPLY_TIMEOUT_S

    def _is_denied(self, name: str, now: float) -> bool:
        return name in self._denials and now < self._denials[name].retry_at


def _deny(request: m.PermitRequest, seconds: float) -> m.PermitReply:
    return m.PermitReply("", request.server, (), seconds, seconds, request.ask_id)
