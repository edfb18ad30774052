"""Describe how requests ended and which of them an objective counts."""

import enum

import attrs

from sesameport.world import LatencyTargets, RefusalType, Urgency

__all__ = ["Outcome", "OutcomeKind"]

_CALLERS_FAULT = frozenset(
    item.slug
    for item in (
        RefusalType.BAD_REQUEST,
        RefusalType.UNKNOWN_KEY,
        RefusalType.UNKNOWN_MODEL,
        RefusalType.UNKNOWN_ROUTE,
        RefusalType.METHOD_NOT_ALLOWED,
        RefusalType.PROMPT_TOO_LONG,
        RefusalType.BODY_TOO_LARGE,
        RefusalType.KEY_REUSED,
        RefusalType.IN_PROGRESS,
        RefusalType.QUARANTINED,
        RefusalType.KEY_WITHDRAWN,
    )
)


class OutcomeKind(enum.StrEnum):
    """Name how a request ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen
class Outcome:
    """Describe how one request ended.

    Attributes
    ----------
    service, workspace : str
        Names from the service document. Workspace is empty on open routes.
    urgency : Urgency
        Urgency of the route.
    ended : float
        Monotonic time of the end on the host that served it, seconds.
    first_token_s : float or None
        Time from arrival to the first token, or to the answer of a plain service,
        seconds. None when nothing was sent.
    between_tokens_p95_s : float or None
        95th percentile of the time between the tokens of this answer, seconds. None
        with fewer than two tokens.
    kind : OutcomeKind
        ``ANSWERED`` only for a whole answer.
    refusal_type : str
        Slug of the refusal type; empty unless refused.
    within_rate : bool
        Whether the workspace was within its rate and burst when the request came.
    prefill_tokens, wasted_prefill_tokens : int
        Tokens prefilled for this request in all attempts, and those among them whose
        result did not reach the caller.
    output_tokens : int
        Tokens sent to the caller.
    demand_tokens : int
        Tokens charged at admission, also for a refused request. When 0, the sum of
        prefill and output tokens stands for it.
    """

    service: str
    workspace: str
    urgency: Urgency
    ended: float
    first_token_s: float | None = None
    between_tokens_p95_s: float | None = None
    kind: OutcomeKind = OutcomeKind.ANSWERED
    refusal_type: str = ""
    within_rate: bool = True
    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0
    output_tokens: int = 0
    demand_tokens: int = 0

    def is_eligible(self) -> bool:
        """Tell whether the objective counts the request.

        Refusals for a fault of the caller and refusals beyond the rate are the
        agreed behaviour, so they count neither as good nor as bad.
        """
        if self.kind != OutcomeKind.REFUSED:
            return True
        return self.within_rate and self.refusal_type not in _CALLERS_FAULT

    def is_wrongful(self) -> bool:
        """Tell whether the request was refused although it was within its rate."""
        return self.kind == OutcomeKind.REFUSED and self.is_eligible()

    def is_good(self, targets: LatencyTargets) -> bool:
        """Tell whether a whole answer came within both latency targets."""
        if self.kind != OutcomeKind.ANSWERED or self.first_token_s is None:
            return False
        if self.first_token_s > targets.first_token_s:
            return False
        gap = self.between_tokens_p95_s
        return gap is None or gap <= targets.between_tokens_s

    def demand(self) -> int:
        """Return the tokens that the request asked for."""
        return self.demand_tokens or self.prefill_tokens + self.output_tokens
