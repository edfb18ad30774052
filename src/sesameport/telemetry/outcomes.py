"""Represent request outcomes and decide which of them an objective counts."""

import enum

import attrs

from sesameport.domain import LatencyTargets, RefusalType, Urgency

__all__ = ["Outcome", "OutcomeKind"]

_CALLER_ERRORS = frozenset(
    refusal_type.slug
    for refusal_type in (
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
    """Enumerate how a request can end."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen
class Outcome:
    """Represent the outcome of one request.

    Attributes
    ----------
    service, workspace : str
        Names from the service document. The workspace is empty on open routes.
    urgency : Urgency
        Urgency of the route.
    ended_at : float
        Monotonic time on the serving host at which the request ended, seconds.
    first_token_s : float or None
        Time from arrival to the first token, or to the response of a plain service,
        seconds. None if nothing was sent.
    between_tokens_p95_s : float or None
        95th percentile of the time between tokens of this response, seconds. None
        with fewer than two tokens.
    kind : OutcomeKind
        ``ANSWERED`` only for a complete response.
    refusal_type : str
        Slug of the refusal type; empty if the request was not refused.
    within_rate : bool
        Whether the workspace was within its rate and burst when the request arrived.
    prefill_tokens, wasted_prefill_tokens : int
        Tokens prefilled for this request in all attempts, and those of them whose
        result did not reach the caller.
    output_tokens : int
        Tokens sent to the caller.
    demand_tokens : int
        Tokens charged at admission, also for a refused request. If 0,
        `charged_tokens` returns the sum of prefill and output tokens.
    """

    service: str
    workspace: str
    urgency: Urgency
    ended_at: float
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
        """Return whether the objective counts the request.

        Refusals of invalid requests and of requests beyond the rate are agreed
        behaviour, so they count neither as good nor as bad.
        """
        if self.kind != OutcomeKind.REFUSED:
            return True
        return self.within_rate and self.refusal_type not in _CALLER_ERRORS

    def is_wrongful(self) -> bool:
        """Return whether an eligible request was refused."""
        return self.kind == OutcomeKind.REFUSED and self.is_eligible()

    def is_good(self, targets: LatencyTargets) -> bool:
        """Return whether a complete response met both latency targets."""
        if self.kind != OutcomeKind.ANSWERED or self.first_token_s is None:
            return False
        if self.first_token_s > targets.first_token_s:
            return False
        interval_s = self.between_tokens_p95_s
        return interval_s is None or interval_s <= targets.between_tokens_s

    def charged_tokens(self) -> int:
        """Return the tokens charged for the request."""
        return self.demand_tokens or self.prefill_tokens + self.output_tokens
