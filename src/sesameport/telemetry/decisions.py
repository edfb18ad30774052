"""Store recent decisions and their reasons for operators."""

import enum
import threading
from collections import deque
from collections.abc import Mapping
from typing import Any

import attrs

from sesameport.telemetry.logs import redact_secrets

__all__ = ["DecisionKind", "DecisionRecord", "DecisionRing"]

RECORDS_PER_KIND = 500
"""Maximum number of records per kind; 8 full rings take less than 4 MB."""

MAX_INPUTS_PER_RECORD = 12
"""Maximum number of inputs per record, which bounds its size."""


class DecisionKind(enum.StrEnum):
    """Enumerate the kinds of recorded decisions."""

    PLACEMENT = "placement"
    REFUSAL = "refusal"
    RETRY = "retry"
    REPAIR = "repair"
    ROLE_CHANGE = "role-change"
    CONFIGURATION = "configuration"
    LEASE = "lease"
    SHARE = "share"


@attrs.frozen
class DecisionRecord:
    """Represent one decision.

    Attributes
    ----------
    sequence : int
        Sequence number among all records of this process.
    at : float
        Monotonic time, seconds.
    kind : DecisionKind
        Kind of the decision.
    reason : str
        Reason from a stable vocabulary; for a refusal, the slug of its type.
    request_id : str
        Id of the request concerned; empty for fleet decisions.
    inputs : mapping of str to str, int, float, bool or None
        Values on which the decision was based.
    """

    sequence: int
    at: float
    kind: DecisionKind
    reason: str
    request_id: str = ""
    inputs: dict[str, str | int | float | bool | None] = attrs.field(factory=dict)


class DecisionRing:
    """Store a bounded number of recent decisions.

    This class is thread-safe. Each kind has its own ring buffer, so many refusals
    cannot evict the last lease or configuration decisions.

    Parameters
    ----------
    records_per_kind : int
        Maximum number of records in each ring buffer.
    """

    def __init__(self, records_per_kind: int = RECORDS_PER_KIND):
        self._lock = threading.Lock()
        self._sequence = 0
        self._rings: dict[DecisionKind, deque[DecisionRecord]] = {
            kind: deque(maxlen=records_per_kind) for kind in DecisionKind
        }

    def add(
        self,
        kind: DecisionKind,
        reason: str,
        now: float,
        request_id: str = "",
        inputs: Mapping[str, Any] | None = None,
    ) -> DecisionRecord:
        """Record a decision and return the record.

        Keys in the inputs are redacted. Inputs other than numbers, booleans and None
        become text of at most 200 characters. At most `MAX_INPUTS_PER_RECORD` inputs
        are stored.
        """
        bounded_inputs = {}
        for name, value in list((inputs or {}).items())[:MAX_INPUTS_PER_RECORD]:
            redacted = redact_secrets({name: value})[name]
            is_plain = redacted is None or isinstance(redacted, (bool, int, float))
            bounded_inputs[name] = redacted if is_plain else str(redacted)[:200]
        with self._lock:
            self._sequence += 1
            record = DecisionRecord(
                self._sequence, now, kind, reason, request_id, bounded_inputs
            )
            self._rings[kind].append(record)
        return record

    def find(
        self,
        request_id: str = "",
        kind: DecisionKind | None = None,
        limit: int = 100,
    ) -> list[DecisionRecord]:
        """Return the most recent matching records, oldest first.

        Parameters
        ----------
        request_id : str
            Id of the request whose records are returned; empty for all requests.
        kind : DecisionKind or None
            Kind of the records returned; None for all kinds.
        limit : int
            Maximum number of records returned.
        """
        with self._lock:
            kinds = [kind] if kind else list(DecisionKind)
            records = [
                record for ring_kind in kinds for record in self._rings[ring_kind]
            ]
        if request_id:
            records = [record for record in records if record.request_id == request_id]
        return sorted(records, key=lambda record: record.sequence)[-limit:]
