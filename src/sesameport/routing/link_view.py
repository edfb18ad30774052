"""Follow the shares of the links that carry KV caches between data centres."""

import attrs

__all__ = ["LinkShares"]

_LOCAL_BYTES_PER_S = 2e10
_UNKNOWN_BYTES_PER_S = 2e9
# A transfer whose end is not reported is dropped after twice its expected duration plus
# this time, so that a missing event does not lower the expected share for good.
_TRANSFER_MARGIN_S = 0.1


@attrs.define
class LinkShares:
    """Expect the rate of the next transfer on each link.

    Only own transfers are known. Other hosts are taken to load a link like this one,
    up to ``assumed_peers`` times.
    """

    assumed_peers: int = 3
    _rates: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _open: dict[tuple[str, str], dict[int, float]] = attrs.field(factory=dict)
    _place: dict[int, tuple[str, str]] = attrs.field(factory=dict)

    def set_links(self, links) -> None:
        """Replace the rates with those of the service documents.

        When documents differ, the lowest rate counts.
        """
        self._rates = {}
        for link in links:
            key = (link.source, link.target)
            rate = min(link.bytes_per_s, self._rates.get(key, link.bytes_per_s))
            self._rates[key] = rate

    def begin(
        self, ticket: int, source: str, target: str, size: int, now: float
    ) -> None:
        """Count a transfer of ``size`` bytes for the placement ``ticket``."""
        key = (source, target)
        expected = self.transfer_s(source, target, size, now)
        until = now + 2 * expected + _TRANSFER_MARGIN_S
        self._open.setdefault(key, {})[ticket] = until
        self._place[ticket] = key

    def end(self, ticket: int) -> None:
        """Release the share of a placement; an unknown ticket is ignored."""
        key = self._place.pop(ticket, None)
        if key is not None:
            self._open[key].pop(ticket, None)

    def transfer_s(self, source: str, target: str, size: int, now: float) -> float:
        """Return the expected duration of a transfer of ``size`` bytes, seconds."""
        key = (source, target)
        default = _LOCAL_BYTES_PER_S if source == target else _UNKNOWN_BYTES_PER_S
        sharing = 1 + self.in_progress(source, target, now) * self.assumed_peers
        return size * sharing / self._rates.get(key, default)

    def in_progress(self, source: str, target: str, now: float) -> int:
        """Return the number of own transfers on a link."""
        transfers = self._open.get((source, target))
        if not transfers:
            return 0
        for ticket in [key for key, until in transfers.items() if until <= now]:
            del transfers[ticket]
            self._place.pop(ticket, None)
        return len(transfers)

    def open_count(self, now: float) -> int:
        """Return the number of open transfers on all links."""
        for source, target in list(self._open):
            self.in_progress(source, target, now)
        return len(self._place)
