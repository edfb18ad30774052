"""Keep the last decisions and their reasons for operators."""

import enum
import threading
from collections import deque
from collections.abc import Mapping
from typing import Any

import attrs

from sesameport.telemetry.logs import remove_secrets

__all__ = ["DecisionKind", "DecisionRecord", "DecisionRing"]

RECORDS_PER_KIND = 500
"""Records kept of each kind; 8 full rings take less than 4 MB."""

MAX_INPUTS = 12
"""Inputs kept of one record, so that its size is bounded."""


class DecisionKind(enum.StrEnum):
    """Name the kinds of decision that are recorded."""

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
    """Describe one decision.

    Attributes
    ----------
    sequence : int
        Place in the order of all records of this process.
    at : float
        Monotonic time, seconds.
    kind : DecisionKind
        What was decided on.
    reason : str
        Why, in stable words; for a refusal the slug of its type.
    request_id : str
        Request that it concerns; empty for decisions of the fleet.
    inputs : mapping of str to str, int, float, bool or None
        What the decision was made from.
    """

    sequence: int
    at: float
    kind: DecisionKind
    reason: str
    request_id: str = ""
    inputs: dict[str, str | int | float | bool | None] = attrs.field(factory=dict)


class DecisionRing:
    """Keep a bounded number of decisions; safe to use from any thread.

    Each kind has a ring of its own, so that a flood of refusals does not remove the
    last lease or configuration decisions.

    Parameters
    ----------
    records_per_kind : int
        Bound of each ring.
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

        Inputs that are no plain values are kept as text, without keys; inputs beyond
        a bound are left out.
        """
        kept = {}
        for name, value in list((inputs or {}).items())[:MAX_INPUTS]:
            clean = remove_secrets({name: value})[name]
            plain = clean is None or isinstance(clean, (bool, int, float))
            kept[name] = clean if plain else str(clean)[:200]
        with self._lock:
            self._sequence += 1
            record = DecisionRecord(self._sequence, now, kind, reason, request_id, kept)
            self._rings[kind].append(record)
        return record

    def find(
        self,
        request_id: str = "",
        kind: DecisionKind | None = None,
        limit: int = 100,
    ) -> list[DecisionRecord]:
        """Return the last records, oldest first.

        Parameters
        ----------
        request_id : str
            Only records of this request; empty for all.
        kind : DecisionKind or None
            Only records of this kind.
        limit : int
            Largest number of records returned.
        """
        with self._lock:
            kinds = [kind] if kind else list(DecisionKind)
            records = [record for item in kinds for record in self._rings[item]]
        if request_id:
            records = [item for item in records if item.request_id == request_id]
        return sorted(records, key=lambda item: item.sequence)[-limit:]
