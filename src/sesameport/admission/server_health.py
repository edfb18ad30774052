"""Judge backend servers by what their callers saw.

Load: a server that fails part of its requests, or that nobody reaches, while its own
health check is good. The share of failures raises the server's cost in placement, and
an unreachable one is left out for a growing time.
"""

import attrs

__all__ = ["ServerHealth"]

FAILURE_WEIGHT = 0.15
"""Weight of the newest outcome in the share of failures: about six outcomes decide, so
that a server with a usual error share of 0.1 keeps its work."""

FIRST_PAUSE_S = 0.5
"""First time without work after a failed connection, seconds; doubles each time."""

LONGEST_PAUSE_S = 2.0
"""Longest such time, seconds: crashed servers are back within a few seconds."""


@attrs.define
class _Record:
    failures: float = 0.0
    unreachable: int = 0
    until: float = 0.0


@attrs.define
class ServerHealth:
    """Keep the outcomes of the calls to each server."""

    _records: dict[str, _Record] = attrs.field(factory=dict)

    def note_answered(self, server: str, failed: bool) -> None:
        """Note an answer, and whether it was a failure of the server."""
        record = self._records.setdefault(server, _Record())
        record.unreachable = 0
        record.until = 0.0
        record.failures += FAILURE_WEIGHT * (float(failed) - record.failures)

    def note_unreachable(self, server: str, now: float) -> None:
        """Note a connection that was not established or broke off."""
        record = self._records.setdefault(server, _Record())
        record.unreachable += 1
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** (record.unreachable - 1))
        record.until = now + pause_s
        record.failures += FAILURE_WEIGHT * (1.0 - record.failures)

    def is_paused(self, server: str, now: float) -> bool:
        """Tell whether a server gets no work for now."""
        record = self._records.get(server)
        return record is not None and now < record.until

    def cost_factor(self, server: str) -> float:
        """Return by how much a server's failures raise its cost, 1 or more."""
        record = self._records.get(server)
        share = record.failures if record else 0.0
        return 1.0 / max(0.05, 1.0 - share) ** 2

    def forget(self, server: str) -> None:
        """Drop the record of a server that is gone or started anew."""
        self._records.pop(server, None)
