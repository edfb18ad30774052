"""Decide which part of a cold server's rate this host may issue.

Hosts that receive no reports of each other choose different issuers, and each of them
issues the part of the rate that corresponds to the hosts that it hears. They notice a
change at different times. Until all have noticed it, a host issues only a part of what
the change adds to its own share, so that all shares together stay within the overshoot.
"""

import collections
import math
from collections.abc import Iterable

import attrs

from sesameport.admission import choose_issuer

__all__ = ["IssueShare", "IssueShares"]

SETTLING_S = 3.5
"""Time after which all hosts have noticed a change of the hosts that hear each other,
seconds: the time between two complete reports (1 s, and 2 s in a fleet of 200 hosts),
the period of the actor's tasks, and the horizon and the lifetime of permits."""


@attrs.frozen
class IssueShare:
    """Represent the part of a rate that this host may issue, from 0 to 1.

    Attributes
    ----------
    present : float
        Share by the hosts that this host hears now.
    settled : float
        Smallest share since `SETTLING_S` ago.
    """

    present: float
    settled: float

    def allowed(self, early_share: float) -> float:
        """Return the share to issue; see ``ColdBounds.early_share``."""
        return self.settled + early_share * (self.present - self.settled)


@attrs.frozen
class _Fleet:
    since: float
    hosts: tuple[str, ...]
    size: int

    def share_of(self, server: str, host: str) -> float:
        if not self.size or choose_issuer(server, self.hosts) != host:
            return 0.0
        return len(self.hosts) / max(len(self.hosts), self.size)


class IssueShares:
    """Keep the hosts that one host has heard recently; not thread-safe.

    Parameters
    ----------
    host : str
        Name of this host.

    Examples
    --------
    >>> shares = IssueShares("h1")
    >>> shares.record(["h1"], 2, now=0.0)
    >>> shares.share_of("s1", now=1.0)
    IssueShare(present=0.5, settled=0.0)
    >>> shares.share_of("s1", now=4.0)
    IssueShare(present=0.5, settled=0.5)
    """

    def __init__(self, host: str):
        self._host = host
        self._fleets = collections.deque([_Fleet(-math.inf, (host,), 0)])

    def record(self, hosts: Iterable[str], size: int, now: float) -> None:
        """Record the hosts that are heard, this one included.

        ``size`` is the number of hosts of the fleet, or 0 if it is not known. A host
        that does not know it issues nothing.
        """
        heard = tuple(sorted(hosts))
        newest = self._fleets[-1]
        if (newest.hosts, newest.size) != (heard, size):
            self._fleets.append(_Fleet(now, heard, size))
        while len(self._fleets) > 1 and self._fleets[1].since <= now - SETTLING_S:
            self._fleets.popleft()

    def share_of(self, server: str, now: float) -> IssueShare:
        """Return the share of a server's rate that this host may issue."""
        recent = [
            fleet
            for fleet, later in zip(
                self._fleets, [*list(self._fleets)[1:], None], strict=True
            )
            if later is None or later.since > now - SETTLING_S
        ]
        shares = [fleet.share_of(server, self._host) for fleet in recent]
        return IssueShare(shares[-1], min(shares))
