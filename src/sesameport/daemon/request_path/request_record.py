"""Record the progress of a request and build the outcome for the burn report."""

import statistics

import attrs

from sesameport.domain import Execution, Refusal, RefusalType, Urgency
from sesameport.requests import CompleteResponse, DeliverToken, RefuseRequest
from sesameport.telemetry.outcomes import Outcome, OutcomeKind

__all__ = ["RequestRecord"]

_GAP_PERCENTILE = 95


@attrs.define
class RequestRecord:
    """Record the token times and counts of one request.

    Parameters
    ----------
    service, workspace : str
        Names in the service document.
    urgency : Urgency
        Urgency of the route.
    arrived_at : float
        Monotonic time of arrival, seconds.
    demand_tokens : int
        Charge at admission, tokens.
    """

    service: str
    workspace: str
    urgency: Urgency
    arrived_at: float
    demand_tokens: int = 0
    prefill_tokens: int = 0
    output_tokens: int = 0
    _first_token_at: float | None = None
    _last_token_at: float = 0.0
    _token_gaps_s: list[float] = attrs.field(factory=list)
    _kind: OutcomeKind = OutcomeKind.FAILED
    _refusal_type: str = ""
    _useful_prefill_tokens: int = 0

    def record_output(
        self, output: DeliverToken | CompleteResponse | RefuseRequest, now: float
    ) -> None:
        """Record one output of the request."""
        if isinstance(output, DeliverToken):
            if self._first_token_at is None:
                self._first_token_at = now
            else:
                self._token_gaps_s.append(now - self._last_token_at)
            self._last_token_at = now
            self.output_tokens += 1
        elif isinstance(output, CompleteResponse):
            self._kind = OutcomeKind.ANSWERED
            self._useful_prefill_tokens = output.usage.prompt_tokens
        else:
            self.record_refusal(output.refusal)

    def record_refusal(self, refusal: Refusal) -> None:
        """Record the refusal that ends the request."""
        self._refusal_type = refusal.type.slug
        is_refused = refusal.execution == Execution.NOT_RUN
        self._kind = OutcomeKind.REFUSED if is_refused else OutcomeKind.FAILED

    def record_plain_answer(self, now: float) -> None:
        """Record the answer of a plain service."""
        self._first_token_at = now
        self._kind = OutcomeKind.ANSWERED

    def build_outcome(self, now: float) -> Outcome:
        """Build the outcome of a request that has ended."""
        gap_p95_s = None
        if len(self._token_gaps_s) > 1:
            gap_p95_s = statistics.quantiles(self._token_gaps_s, n=100)[
                _GAP_PERCENTILE - 1
            ]
        time_to_first_token_s = (
            None
            if self._first_token_at is None
            else self._first_token_at - self.arrived_at
        )
        return Outcome(
            service=self.service,
            workspace=self.workspace,
            urgency=self.urgency,
            ended_at=now,
            first_token_s=time_to_first_token_s,
            between_tokens_p95_s=gap_p95_s,
            kind=self._kind,
            refusal_type=self._refusal_type,
            within_rate=self._refusal_type != RefusalType.RATE_LIMITED.slug,
            prefill_tokens=self.prefill_tokens,
            wasted_prefill_tokens=max(
                0, self.prefill_tokens - self._useful_prefill_tokens
            ),
            output_tokens=self.output_tokens,
            demand_tokens=self.demand_tokens,
        )
