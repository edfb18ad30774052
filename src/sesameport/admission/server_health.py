"""Track the health of backend servers from the outcomes of calls.

A server may fail some of its requests, be unreachable, or refuse work while it changes
its role, although its entry is marked ready. A higher failure rate raises the cost of a
server in placement. A server that is unreachable or refuses work is paused with
exponential backoff. Hosts share these pauses, so not every host has to lose a
request to detect the fault. Each host then probes an unreachable server until it can
connect again.

A host whose own link is saturated cannot connect to any server. Its report that a
server is unreachable therefore counts only together with that of another host, and a
load that saturates the links of many hosts must not take all servers out of use.
"""

from collections.abc import Iterable, Mapping

import attrs

__all__ = ["ServerHealth"]

FAILURE_WEIGHT = 0.15
"""Weight of the newest outcome in the failure rate. About six outcomes dominate the
rate, so a server with a typical error rate of 0.1 still receives work."""

INITIAL_BACKOFF_S = 0.5
"""Initial pause after a failed connection or a refusal, seconds. It doubles with each
further failed attempt until the server answers."""

MAX_BACKOFF_S = 2.0
"""Upper limit of the backoff, seconds. Crashed servers restart within seconds."""

WRONG_SERVER_PAUSE_S = 3.6
"""Pause after a different server answered at the address, seconds. The entry of a
stopped server expires within three heartbeats of 1.2 s. A changed entry ends the pause
early."""

FULL_QUEUE_PAUSE_S = 0.1
"""Pause after a server refused a request because its queue was full, seconds."""

FAILED_PROBE_PAUSE_S = 1.2
"""Pause after a failed probe, seconds. The next probe completes within this time:
probes start every 0.5 s and time out after 0.4 s."""

MIN_UNREACHABLE_REPORTS = 2
"""Number of other hosts that must report a server as unreachable to pause it here."""

MAX_REMOTE_PAUSE_S = 10.0
"""Upper limit for a pause reported by another host, seconds."""


@attrs.define
class _ServerRecord:
    failure_rate: float = 0.0
    failed_attempts: int = 0
    backoff_until: float = 0.0
    paused_until: float = 0.0
    is_unreachable: bool = False
    unshared_until: float = 0.0

    def next_backoff_s(self) -> float:
        """Count a failed attempt and return the resulting backoff, seconds."""
        self.failed_attempts += 1
        return min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (self.failed_attempts - 1))

    def shared_pause_until(self) -> float:
        """Return the end of the pause that is shared with other hosts."""
        return max(self.backoff_until, self.paused_until)

    def is_paused(self, now: float) -> bool:
        """Return whether any pause lasts."""
        return (
            now < self.backoff_until
            or now < self.paused_until
            or now < self.unshared_until
        )


@attrs.define
class ServerHealth:
    """Track failure rates and pauses of backend servers."""

    _records: dict[str, _ServerRecord] = attrs.field(factory=dict)
    _remote_pauses: dict[str, float] = attrs.field(factory=dict)
    _remote_unreachable: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def record_answer(self, server: str, failed: bool) -> None:
        """Record a response and whether it reported a failure of the server."""
        record = self._records.setdefault(server, _ServerRecord())
        record.failed_attempts = 0
        record.is_unreachable = False
        record.failure_rate += FAILURE_WEIGHT * (float(failed) - record.failure_rate)

    def record_unreachable(self, server: str, now: float) -> None:
        """Record a connection that could not be established or was lost."""
        self._back_off(server, now)
        record = self._records[server]
        record.is_unreachable = True
        record.failure_rate += FAILURE_WEIGHT * (1.0 - record.failure_rate)

    def record_timeout(self, server: str, now: float) -> None:
        """Record a server that accepted a call but timed out twice.

        The pause is not shared with other hosts. If the cause is a slow link or high
        load on this host, sharing it would take a healthy server out of use everywhere.
        """
        record = self._records.setdefault(server, _ServerRecord())
        record.failure_rate += FAILURE_WEIGHT * (1.0 - record.failure_rate)
        record.unshared_until = max(
            record.unshared_until, now + record.next_backoff_s()
        )

    def probe_targets(self, now: float) -> list[str]:
        """Return the servers that should be probed."""
        names = {
            name for name, record in self._records.items() if record.is_unreachable
        }
        names.update(
            name for name in self._remote_unreachable if self._reporters(name, now)
        )
        return sorted(names)

    def record_probe(self, server: str, reached: bool, now: float) -> None:
        """Record whether a probe could connect to a server."""
        record = self._records.setdefault(server, _ServerRecord())
        if not reached:
            record.is_unreachable = True
            record.unshared_until = now + FAILED_PROBE_PAUSE_S
            return
        # The backoff is not reset, because a server that hangs accepts connections too.
        record.is_unreachable = False
        record.unshared_until = now

    def record_refusal(self, server: str, now: float) -> None:
        """Record a refusal of work, which does not count as a failure."""
        self._back_off(server, now)

    def record_full_queue(self, server: str, now: float) -> None:
        """Record a refusal by a server whose queue is full.

        The pause is short and not shared with other hosts. The queue has room again
        after one request, and if every host paused the server, its load would move to
        the other servers and fill their queues too.
        """
        record = self._records.setdefault(server, _ServerRecord())
        record.unshared_until = max(record.unshared_until, now + FULL_QUEUE_PAUSE_S)

    def record_wrong_server(self, server: str, now: float) -> None:
        """Record that a different server answered, or one with a different role."""
        self.pause(server, WRONG_SERVER_PAUSE_S, now)

    def record_decode_refusal(self, server: str, now: float) -> None:
        """Record that a decode server refused a transferred KV cache.

        A single refusal may be due to an expired handle, so the server is paused only
        from the second consecutive refusal on.
        """
        record = self._records.setdefault(server, _ServerRecord())
        if record.failed_attempts == 0:
            record.failed_attempts = 1
            return
        self._back_off(server, now)

    def pause(self, server: str, seconds: float, now: float) -> None:
        """Pause a server for a fixed time, such as during a role change."""
        record = self._records.setdefault(server, _ServerRecord())
        record.paused_until = max(record.paused_until, now + seconds)

    def apply_pauses(
        self,
        host: str,
        pauses: Mapping[str, float],
        unreachable: Iterable[str],
        now: float,
    ) -> None:
        """Apply the pauses reported by another host, in seconds from now.

        ``unreachable`` names the paused servers that should be probed. A server that
        is changing its role is not among them, which saves a probe from every host.
        """
        unreachable = frozenset(unreachable)
        for server, seconds in pauses.items():
            until = now + min(seconds, MAX_REMOTE_PAUSE_S)
            if server in unreachable:
                self._remote_unreachable.setdefault(server, {})[host] = until
                continue
            self._remote_pauses[server] = max(
                self._remote_pauses.get(server, 0.0), until
            )

    def _reporters(self, server: str, now: float) -> int:
        """Return how many other hosts currently report a server as unreachable."""
        ends = self._remote_unreachable.get(server)
        if not ends:
            return 0
        for host in [host for host, until in ends.items() if until <= now]:
            del ends[host]
        return len(ends)

    def pauses(self, now: float) -> dict[str, float]:
        """Return the pauses that originate from this host, in seconds from now."""
        return {
            name: round(record.shared_pause_until() - now, 3)
            for name, record in self._records.items()
            if record.shared_pause_until() > now
        }

    def unreachable(self, now: float) -> list[str]:
        """Return the paused servers that this host could not reach."""
        return [
            name
            for name, record in self._records.items()
            if record.is_unreachable and record.shared_pause_until() > now
        ]

    def is_paused(self, server: str, now: float) -> bool:
        """Return whether a server is currently excluded from placement."""
        return self.is_paused_here(server, now) or self.is_reported_unreachable(
            server, now
        )

    def is_paused_here(self, server: str, now: float) -> bool:
        """Return whether a server is paused without regard to reported connections."""
        if now < self._remote_pauses.get(server, 0.0):
            return True
        record = self._records.get(server)
        return record is not None and record.is_paused(now)

    def paused_here(self, servers: Iterable[str], now: float) -> set[str]:
        """Return the servers among some for which `is_paused_here` is true."""
        records, remote = self._records, self._remote_pauses
        return {
            server
            for server in servers
            if (server in records and records[server].is_paused(now))
            or (server in remote and now < remote[server])
        }

    def reported_unreachable(self, servers: Iterable[str], now: float) -> set[str]:
        """Return the servers among some that enough other hosts cannot reach."""
        return {
            server
            for server in servers
            if server in self._remote_unreachable
            and self.is_reported_unreachable(server, now)
        }

    def is_reported_unreachable(self, server: str, now: float) -> bool:
        """Return whether enough other hosts currently cannot reach a server."""
        return self._reporters(server, now) >= MIN_UNREACHABLE_REPORTS

    def _back_off(self, server: str, now: float) -> None:
        record = self._records.setdefault(server, _ServerRecord())
        record.backoff_until = max(record.backoff_until, now + record.next_backoff_s())

    def cost_factor(self, server: str) -> float:
        """Return the cost multiplier for a server's failure rate, at least 1."""
        record = self._records.get(server)
        rate = record.failure_rate if record else 0.0
        return 1.0 / max(0.05, 1.0 - rate) ** 2

    def remove_server(self, server: str) -> None:
        """Remove all state of a server that was removed or restarted."""
        self._records.pop(server, None)
        self._remote_pauses.pop(server, None)
        self._remote_unreachable.pop(server, None)
