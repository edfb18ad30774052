"""Sum counts over time windows in constant memory."""

from array import array
from collections.abc import Sequence

import attrs

__all__ = ["TIERS", "Tier", "TimeBuckets"]

_MAX_UINT32 = 2**32 - 1


@attrs.frozen
class Tier:
    """Specify the width in seconds and the number of the buckets of a tier."""

    bucket_s: int
    bucket_count: int


TIERS = (
    Tier(60, 30),  # windows of 5 min and 30 min
    Tier(600, 36),  # windows of 1 h and 6 h
    Tier(7_200, 36),  # window of 3 d
    Tier(86_400, 30),  # window of 30 d
)
"""Tiers, finest first.

The current bucket is incomplete, so a sum covers up to one bucket less than its window.
The buckets of a tier are at most a fifth of each window that is read from it.
"""


class TimeBuckets:
    """Sum several fields in ring buffers of time buckets, one ring per tier.

    The memory is allocated once: tiers x buckets x fields cells.

    Parameters
    ----------
    field_count : int
        Number of fields that are summed.
    use_64_bit_cells : bool
        Whether cells have 64 bits instead of 32. A sum saturates at the largest value
        of its cell.
    tiers : sequence of Tier
        Tiers, finest first.
    """

    __slots__ = ("_cells", "_field_count", "_latest_buckets", "_tiers", "_max_cell")

    def __init__(
        self, field_count: int, use_64_bit_cells: bool, tiers: Sequence[Tier] = TIERS
    ):
        self._tiers = tiers
        self._field_count = field_count
        self._max_cell = 2**64 - 1 if use_64_bit_cells else _MAX_UINT32
        typecode = "Q" if use_64_bit_cells else "I"
        self._cells = [
            array(
                typecode,
                bytes(tier.bucket_count * field_count * array(typecode).itemsize),
            )
            for tier in tiers
        ]
        self._latest_buckets = array("q", [-1] * len(tiers))

    def add(self, time_s: float, amounts: Sequence[int]) -> None:
        """Add one amount per field at a monotonic time in seconds.

        A tier ignores late amounts whose bucket it has already reused.
        """
        for index, tier in enumerate(self._tiers):
            bucket = int(time_s // tier.bucket_s)
            self._advance(index, bucket)
            if bucket <= self._latest_buckets[index] - tier.bucket_count:
                continue
            cells = self._cells[index]
            start = bucket % tier.bucket_count * self._field_count
            for j, amount in enumerate(amounts):
                if amount:
                    cells[start + j] = min(cells[start + j] + amount, self._max_cell)

    def total(self, now: float, window_s: float) -> list[int]:
        """Return the sum of each field over the last ``window_s`` seconds."""
        index = self._tier_index(window_s)
        tier, stride, cells = self._tiers[index], self._field_count, self._cells[index]
        bucket_count = min(tier.bucket_count, max(1, round(window_s / tier.bucket_s)))
        current = int(now // tier.bucket_s)
        last = min(current, self._latest_buckets[index])
        first = max(
            current - bucket_count + 1,
            self._latest_buckets[index] - tier.bucket_count + 1,
            0,
        )
        if last < first:
            return [0] * stride
        # The window is one contiguous run, or two if it wraps around the end of the
        # ring. Summing slices is faster than summing bucket by bucket.
        start, end = first % tier.bucket_count, last % tier.bucket_count + 1
        runs = [(start, end)] if start < end else [(start, tier.bucket_count), (0, end)]
        return [
            sum(sum(cells[lo * stride + j : hi * stride : stride]) for lo, hi in runs)
            for j in range(stride)
        ]

    def series(self, now: float, window_s: float) -> list[list[int]]:
        """Return the field sums of each bucket in a window, newest first."""
        index = self._tier_index(window_s)
        tier = self._tiers[index]
        return list(
            self._iterate_series(
                index, now, min(tier.bucket_count, round(window_s / tier.bucket_s))
            )
        )

    def copy(self) -> "TimeBuckets":
        """Return an independent copy."""
        copied = object.__new__(TimeBuckets)
        copied._tiers, copied._field_count, copied._max_cell = (
            self._tiers,
            self._field_count,
            self._max_cell,
        )
        copied._cells = [cells[:] for cells in self._cells]
        copied._latest_buckets = self._latest_buckets[:]
        return copied

    def last_written_at(self) -> float:
        """Return the start of the last bucket written in the finest tier, seconds."""
        return float(self._latest_buckets[0] * self._tiers[0].bucket_s)

    def size_bytes(self) -> int:
        """Return the memory used by the cells, bytes."""
        return sum(len(cells) * cells.itemsize for cells in self._cells)

    def _tier_index(self, window_s: float) -> int:
        for index, tier in enumerate(self._tiers):
            if window_s <= tier.bucket_s * tier.bucket_count:
                return index
        return len(self._tiers) - 1

    def _advance(self, index: int, bucket: int) -> None:
        latest_bucket = self._latest_buckets[index]
        if bucket <= latest_bucket:
            return
        bucket_count, stride = self._tiers[index].bucket_count, self._field_count
        for entered in range(
            max(latest_bucket + 1, bucket - bucket_count + 1), bucket + 1
        ):
            start = entered % bucket_count * stride
            for j in range(start, start + stride):
                self._cells[index][j] = 0
        self._latest_buckets[index] = bucket

    def _iterate_series(self, index: int, now: float, bucket_count: int):
        tier, stride, cells = self._tiers[index], self._field_count, self._cells[index]
        current = int(now // tier.bucket_s)
        latest_bucket = self._latest_buckets[index]
        for bucket in range(current, current - bucket_count, -1):
            if (
                bucket > latest_bucket
                or bucket <= latest_bucket - tier.bucket_count
                or bucket < 0
            ):
                yield [0] * stride
                continue
            start = bucket % tier.bucket_count * stride
            yield cells[start : start + stride].tolist()
