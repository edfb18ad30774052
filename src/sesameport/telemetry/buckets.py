"""Count in buckets of time with constant memory."""

from array import array
from collections.abc import Sequence

import attrs

__all__ = ["TIERS", "Tier", "TimeBuckets"]

_LARGEST_32 = 2**32 - 1


@attrs.frozen
class Tier:
    """Give the width of the buckets in seconds and their number."""

    bucket_s: int
    length: int


# Each window is read from the tier whose buckets are a fifth of it or less, so a
# window is at most one bucket, a fifth, shorter than its name says.
TIERS = (
    Tier(60, 30),  # windows of 5 min and 30 min
    Tier(600, 36),  # windows of 1 h and 6 h
    Tier(7_200, 36),  # window of 3 d
    Tier(86_400, 30),  # the period of 30 d
)


class TimeBuckets:
    """Hold sums of several fields in the tiers' buckets.

    The memory is allocated once: tiers x buckets x fields cells.

    Parameters
    ----------
    fields : int
        Number of fields that are summed.
    wide : bool
        Use cells of 64 bits. Cells of 32 bits stop at their largest value.
    tiers : sequence of Tier
        Tiers, finest first.
    """

    __slots__ = ("_cells", "_fields", "_latest", "_tiers", "_top")

    def __init__(self, fields: int, wide: bool, tiers: Sequence[Tier] = TIERS):
        self._tiers = tiers
        self._fields = fields
        self._top = 2**64 - 1 if wide else _LARGEST_32
        code = "Q" if wide else "I"
        self._cells = [
            array(code, bytes(tier.length * fields * array(code).itemsize))
            for tier in tiers
        ]
        self._latest = array("q", [-1] * len(tiers))

    def add(self, at: float, amounts: Sequence[int]) -> None:
        """Add amounts, one per field, at a monotonic time in seconds.

        An amount that came so late that its bucket was reused is left out of the
        tiers that no longer hold it.
        """
        for i, tier in enumerate(self._tiers):
            number = int(at // tier.bucket_s)
            self._advance(i, number)
            if number <= self._latest[i] - tier.length:
                continue
            cells = self._cells[i]
            start = number % tier.length * self._fields
            for j, amount in enumerate(amounts):
                if amount:
                    cells[start + j] = min(cells[start + j] + amount, self._top)

    def total(self, now: float, window_s: float) -> list[int]:
        """Return the sum of each field over the last ``window_s`` seconds."""
        i = self._tier_of(window_s)
        tier, fields, cells = self._tiers[i], self._fields, self._cells[i]
        buckets = min(tier.length, max(1, round(window_s / tier.bucket_s)))
        current = int(now // tier.bucket_s)
        last = min(current, self._latest[i])
        first = max(current - buckets + 1, self._latest[i] - tier.length + 1, 0)
        if last < first:
            return [0] * fields
        # The ring holds the buckets as one or two runs, which slices sum fast.
        start, end = first % tier.length, last % tier.length + 1
        runs = [(start, end)] if start < end else [(start, tier.length), (0, end)]
        return [
            sum(sum(cells[lo * fields + j : hi * fields : fields]) for lo, hi in runs)
            for j in range(fields)
        ]

    def series(self, now: float, window_s: float) -> list[list[int]]:
        """Return the buckets of a window, newest first."""
        i = self._tier_of(window_s)
        tier = self._tiers[i]
        return list(
            self._read(i, now, min(tier.length, round(window_s / tier.bucket_s)))
        )

    def copy(self) -> "TimeBuckets":
        """Return a copy that later additions do not change."""
        other = object.__new__(TimeBuckets)
        other._tiers, other._fields, other._top = self._tiers, self._fields, self._top
        other._cells = [cells[:] for cells in self._cells]
        other._latest = self._latest[:]
        return other

    def last_use(self) -> float:
        """Return the start of the latest bucket that was written, seconds."""
        return float(self._latest[0] * self._tiers[0].bucket_s)

    def size_bytes(self) -> int:
        """Return the memory of the cells, bytes."""
        return sum(len(cells) * cells.itemsize for cells in self._cells)

    def _tier_of(self, window_s: float) -> int:
        for i, tier in enumerate(self._tiers):
            if window_s <= tier.bucket_s * tier.length:
                return i
        return len(self._tiers) - 1

    def _advance(self, i: int, number: int) -> None:
        latest = self._latest[i]
        if number <= latest:
            return
        length, fields = self._tiers[i].length, self._fields
        for skipped in range(max(latest + 1, number - length + 1), number + 1):
            start = skipped % length * fields
            for j in range(start, start + fields):
                self._cells[i][j] = 0
        self._latest[i] = number

    def _read(self, i: int, now: float, buckets: int):
        tier, fields, cells = self._tiers[i], self._fields, self._cells[i]
        current = int(now // tier.bucket_s)
        latest = self._latest[i]
        for number in range(current, current - buckets, -1):
            if number > latest or number <= latest - tier.length or number < 0:
                yield [0] * fields
                continue
            start = number % tier.length * fields
            yield cells[start : start + fields].tolist()
