"""Estimate the duration of KV cache transfers between data centres."""

import attrs

__all__ = ["LinkView"]

_LOCAL_BYTES_PER_S = 2e10
_DEFAULT_BYTES_PER_S = 2e9
_EXPIRY_MARGIN_S = 0.1
"""Added to twice the expected duration of a transfer to get its expiry.

Without an expiry, a transfer whose end is never reported would lower the expected rate
of its link permanently.
"""


@attrs.define
class LinkView:
    """Track this host's transfers on each link and estimate the next transfer's rate.

    Transfers of other hosts are unknown. To account for them, each transfer in progress
    is counted ``assumed_peers`` times.
    """

    assumed_peers: int = 3
    _rates: dict[tuple[str, str], float] = attrs.field(factory=dict)
    _transfers: dict[tuple[str, str], dict[int, float]] = attrs.field(factory=dict)
    _link_by_reservation: dict[int, tuple[str, str]] = attrs.field(factory=dict)

    def set_links(self, links) -> None:
        """Replace the link rates with those of the service documents.

        If documents give different rates for a link, the lowest one is used.
        """
        self._rates = {}
        for link in links:
            key = (link.source, link.target)
            rate = min(link.bytes_per_s, self._rates.get(key, link.bytes_per_s))
            self._rates[key] = rate

    def begin_transfer(
        self, reservation_id: int, source: str, target: str, size: int, now: float
    ) -> None:
        """Add a transfer of ``size`` bytes that belongs to a placement."""
        key = (source, target)
        expected_s = self.transfer_s(source, target, size, now)
        expires_at = now + 2 * expected_s + _EXPIRY_MARGIN_S
        self._transfers.setdefault(key, {})[reservation_id] = expires_at
        self._link_by_reservation[reservation_id] = key

    def end_transfer(self, reservation_id: int) -> None:
        """Remove the transfer of a placement, if there is one."""
        key = self._link_by_reservation.pop(reservation_id, None)
        if key is not None:
            self._transfers[key].pop(reservation_id, None)

    def transfer_s(self, source: str, target: str, size: int, now: float) -> float:
        """Return the expected duration of a transfer of ``size`` bytes, seconds."""
        key = (source, target)
        default = _LOCAL_BYTES_PER_S if source == target else _DEFAULT_BYTES_PER_S
        transfer_count = (
            1 + self.transfers_in_progress(source, target, now) * self.assumed_peers
        )
        return size * transfer_count / self._rates.get(key, default)

    def transfers_in_progress(self, source: str, target: str, now: float) -> int:
        """Return the number of this host's transfers on a link."""
        transfers = self._transfers.get((source, target))
        if not transfers:
            return 0
        for reservation_id in [
            key for key, expires_at in transfers.items() if expires_at <= now
        ]:
            del transfers[reservation_id]
            self._link_by_reservation.pop(reservation_id, None)
        return len(transfers)

    def open_count(self, now: float) -> int:
        """Return the number of transfers in progress on all links."""
        for source, target in list(self._transfers):
            self.transfers_in_progress(source, target, now)
        return len(self._link_by_reservation)
