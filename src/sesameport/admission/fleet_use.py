"""Aggregate the use of each backend server over all hosts.

Each host reports its complete use, so a lost report is corrected by the next one. The
use of a host that stops reporting is removed, because the connections of a dead host
are closed and its requests end with them.

Every placement reads the use of all servers of a service. In a burst, each report of
another host triggers placements. Totals are therefore updated incrementally with each
report, and a lookup takes constant time regardless of the number of hosts.
"""

from collections.abc import Mapping

import attrs

from sesameport.admission.waiting_queue import WaitingTokens

__all__ = ["FleetUse", "ServerUse"]


@attrs.frozen
class ServerUse:
    """Represent the use of one server.

    Attributes
    ----------
    kv_tokens : float
        KV cache reserved for requests that decode on the server, tokens.
    active_requests : int
        Requests that are placed on the server, including those about to start.
    prefill_tokens : float
        Prompt tokens that are queued for prefill or being processed.
    pending_kv_tokens : float
        Part of ``kv_tokens`` that is reserved but not yet occupied, because the
        prefill is still pending on another server.
    """

    kv_tokens: float = 0.0
    active_requests: int = 0
    prefill_tokens: float = 0.0
    pending_kv_tokens: float = 0.0

    def plus(self, other: "ServerUse") -> "ServerUse":
        """Return the elementwise sum."""
        return ServerUse(
            self.kv_tokens + other.kv_tokens,
            self.active_requests + other.active_requests,
            self.prefill_tokens + other.prefill_tokens,
            self.pending_kv_tokens + other.pending_kv_tokens,
        )

    def minus(self, other: "ServerUse") -> "ServerUse":
        """Return the elementwise difference."""
        return ServerUse(
            self.kv_tokens - other.kv_tokens,
            self.active_requests - other.active_requests,
            self.prefill_tokens - other.prefill_tokens,
            self.pending_kv_tokens - other.pending_kv_tokens,
        )


_NO_USE = ServerUse()
_NO_WAITING = WaitingTokens()


@attrs.define
class FleetUse:
    """Track the use by this host and the last report of every other host."""

    local: dict[str, ServerUse] = attrs.field(factory=dict)
    _reports: dict[str, tuple[float, dict[str, ServerUse]]] = attrs.field(factory=dict)
    _waiting: dict[str, dict[str, WaitingTokens]] = attrs.field(factory=dict)
    _totals: dict[str, ServerUse] = attrs.field(factory=dict)
    _waiting_totals: dict[str, WaitingTokens] = attrs.field(factory=dict)

    def add_local(self, server: str, change: ServerUse) -> None:
        """Add to this host's use of a server; components may be negative."""
        before = self.local.get(server, _NO_USE)
        use = before.plus(change)
        if use.active_requests <= 0 and use.kv_tokens <= 0 and use.prefill_tokens <= 0:
            self.local.pop(server, None)
            use = _NO_USE
        else:
            self.local[server] = use
        self._replace_in_total(server, before, use)

    def apply_report(
        self,
        host: str,
        uses: Mapping[str, ServerUse],
        now: float,
        waiting: Mapping[str, WaitingTokens] | None = None,
    ) -> None:
        """Replace another host's use and its waiting demand by service."""
        _, before = self._reports.pop(host, (0.0, {}))
        self._reports[host] = (now, dict(uses))
        # Most of a report equals the one before it, so only differences are added.
        for server, use in uses.items():
            earlier = before.get(server, _NO_USE)
            if use is earlier or use == earlier:
                continue
            self._replace_in_total(server, earlier, use)
        for server, earlier in before.items():
            if server not in uses:
                self._replace_in_total(server, earlier, _NO_USE)
        if waiting or host in self._waiting:
            self._replace_waiting(host, waiting or {})

    def remote_waiting(self, service: str) -> WaitingTokens:
        """Return the KV cache that requests waiting on other hosts need."""
        return self._waiting_totals.get(service, _NO_WAITING)

    def expire(self, now: float, expiry_s: float) -> list[str]:
        """Remove the use of hosts that stopped reporting and return their names.

        ``expiry_s`` is the time without a report after which a host counts as stopped.
        """
        silent = [
            host for host, (at, _) in self._reports.items() if now - at > expiry_s
        ]
        for host in silent:
            self._remove_host(host)
        return silent

    def oldest_report_s(self, now: float) -> float:
        """Return the age of the oldest current report in seconds, 0 if none."""
        return max((now - at for at, _ in self._reports.values()), default=0.0)

    def hosts(self) -> list[str]:
        """Return the other hosts with a current report."""
        return list(self._reports)

    def total_for(self, server: str) -> ServerUse:
        """Return the total use of a server by all hosts."""
        return self._totals.get(server, _NO_USE)

    def _replace_in_total(
        self, server: str, before: ServerUse, after: ServerUse
    ) -> None:
        """Count ``after`` instead of ``before`` as a part of the total of a server."""
        # Token counts are integers, so incremental float sums stay exact.
        known = self._totals.get(server, _NO_USE)
        total = ServerUse(
            known.kv_tokens - before.kv_tokens + after.kv_tokens,
            known.active_requests - before.active_requests + after.active_requests,
            known.prefill_tokens - before.prefill_tokens + after.prefill_tokens,
            known.pending_kv_tokens
            - before.pending_kv_tokens
            + after.pending_kv_tokens,
        )
        if total == _NO_USE:
            self._totals.pop(server, None)
            return
        self._totals[server] = total

    def _replace_waiting(self, host: str, waiting: Mapping[str, WaitingTokens]) -> None:
        for service, tokens in self._waiting.pop(host, {}).items():
            total = self._waiting_totals[service].minus(tokens)
            self._waiting_totals[service] = total
            if total == _NO_WAITING:
                del self._waiting_totals[service]
        for service, tokens in waiting.items():
            total = self._waiting_totals.get(service, _NO_WAITING)
            self._waiting_totals[service] = total.plus(tokens)
        if waiting:
            self._waiting[host] = dict(waiting)

    def _remove_host(self, host: str) -> None:
        _, uses = self._reports.pop(host, (0.0, {}))
        for server, use in uses.items():
            self._replace_in_total(server, use, _NO_USE)
        self._replace_waiting(host, {})
