"""Track the peer addresses of the other hosts.

Addresses come from listings of the registrations, which may be older than the
announcement of a host that has just started.
"""

import re
from collections.abc import Callable, Iterable, Mapping

import attrs

__all__ = ["HostAddresses", "is_address", "log_hosts"]

LOGGED_HOSTS = 8
"""Number of host names in one log line. All hosts of a fleet may start at once."""

ANNOUNCEMENT_LIFETIME_S = 60.0
"""Time for which an announced host is kept although a listing lacks it, seconds. It
equals the period of the listings, so the next one decides."""

HOST_EXPIRY_S = 600.0
"""Time without reports after which a host's registration is deleted, seconds. It
exceeds the longest partition between regions. A host that was only cut off registers
again."""

_HOST = re.compile(
    r"\[[0-9A-Fa-f:.]+\]|[0-9A-Za-z_-]{1,63}(?:\.[0-9A-Za-z_-]{1,63}){0,10}"
)
"""An IPv6 address in brackets, an IPv4 address or a name."""


@attrs.define
class HostAddresses:
    """Hold the address of each host and the time of its last report.

    Parameters
    ----------
    own_name : str
        Name of this host, which does not report to itself.

    Examples
    --------
    >>> addresses = HostAddresses("h1")
    >>> addresses.announce("h2", "10.0.0.2:7500", 0.0)
    True
    >>> addresses.replace({"h1": "10.0.0.1:7500"}, 1.0)
    >>> addresses.others()
    ['h2']
    """

    own_name: str
    by_name: dict[str, str] = attrs.field(factory=dict)
    _announced_at: dict[str, float] = attrs.field(factory=dict)
    _reported_at: dict[str, float] = attrs.field(factory=dict)

    def announce(self, name: str, address: str, now: float) -> bool:
        """Add an announced host; return whether its address is new."""
        self._announced_at[name] = now
        if self.by_name.get(name) == address:
            return False
        self.by_name = {**self.by_name, name: address}
        self._reported_at.setdefault(name, now)
        return True

    def replace(self, listed: Mapping[str, str], now: float) -> None:
        """Apply a listing and keep the hosts that announced themselves recently."""
        self._announced_at = {
            name: at
            for name, at in self._announced_at.items()
            if now - at < ANNOUNCEMENT_LIFETIME_S
        }
        kept = {
            name: self.by_name[name]
            for name in self._announced_at
            if name in self.by_name
        }
        self.by_name = {**listed, **kept}
        self._reported_at = {
            name: self._reported_at.get(name, now) for name in self.others()
        }

    def record_report(self, name: str, now: float) -> None:
        """Record the time of a host's report."""
        self._reported_at[name] = now

    def others(self) -> list[str]:
        """Return the names of the other hosts."""
        return [name for name in self.by_name if name != self.own_name]

    def connections(self, seeds: Iterable[str]) -> set[str]:
        """Return the addresses to receive from, including the seeds."""
        return {*self.by_name.values(), *seeds}

    def expired(self, now: float) -> tuple[str, ...]:
        """Return the hosts whose registrations should be deleted."""
        return tuple(
            name
            for name, at in self._reported_at.items()
            if now - at > HOST_EXPIRY_S and name in self.by_name
        )


def is_address(text) -> bool:
    """Return whether a value is ``IP:port`` or ``name:port`` that a socket accepts.

    Examples
    --------
    >>> is_address("10.0.0.1:80"), is_address("[::1]:80"), is_address("10.0.0.1:x")
    (True, True, False)
    """
    if not isinstance(text, str):
        return False
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return False
    return 0 < int(port) < 65_536 and _HOST.fullmatch(host) is not None


def log_hosts(write: Callable, event: str, hosts: list[str]) -> None:
    """Log an event of several hosts in one line, with the first of their names."""
    if hosts:
        names = ",".join(hosts[:LOGGED_HOSTS])
        write(event, extra={"peer": names, "hosts": len(hosts)})
