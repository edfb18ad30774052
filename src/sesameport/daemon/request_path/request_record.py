"""Turn the course of a request into the outcome that the burn report counts."""

import statistics

import attrs

from sesameport.requests import CompleteResponse, DeliverToken, RefuseRequest
from sesameport.telemetry.outcomes import Outcome, OutcomeKind
from sesameport.world import Execution, Refusal, RefusalType, Urgency

__all__ = ["RequestRecord"]

_PERCENTILE = 95


@attrs.define
class RequestRecord:
    """Collect the times and tokens of one request.

    Parameters
    ----------
    service, workspace : str
        Names from the service document.
    urgency : Urgency
        Urgency of the route.
    arrived : float
        Monotonic time of arrival, seconds.
    demand_tokens : int
        Tokens charged at admission.
    """

    service: str
    workspace: str
    urgency: Urgency
    arrived: float
    demand_tokens: int = 0
    prefill_tokens: int = 0
    output_tokens: int = 0
    _first: float | None = None
    _last: float = 0.0
    _gaps: list[float] = attrs.field(factory=list)
    _kind: OutcomeKind = OutcomeKind.FAILED
    _refusal_type: str = ""
    _prefill_used: int = 0

    def note(
        self, output: DeliverToken | CompleteResponse | RefuseRequest, now: float
    ) -> None:
        """Take one output of the request."""
        if isinstance(output, DeliverToken):
            if self._first is None:
                self._first = now
            else:
                self._gaps.append(now - self._last)
            self._last = now
            self.output_tokens += 1
        elif isinstance(output, CompleteResponse):
            self._kind = OutcomeKind.ANSWERED
            self._prefill_used = output.usage.prompt_tokens
        else:
            self.refuse(output.refusal)

    def refuse(self, refusal: Refusal) -> None:
        """Take the refusal that ends the request."""
        self._refusal_type = refusal.type.slug
        refused = refusal.execution == Execution.NOT_RUN
        self._kind = OutcomeKind.REFUSED if refused else OutcomeKind.FAILED

    def answered(self, now: float) -> None:
        """Note that a plain service answered."""
        self._first = now
        self._kind = OutcomeKind.ANSWERED

    def outcome(self, now: float) -> Outcome:
        """Return the outcome of a request that has ended."""
        gap = None
        if len(self._gaps) > 1:
            gap = statistics.quantiles(self._gaps, n=100)[_PERCENTILE - 1]
        first = None if self._first is None else self._first - self.arrived
        return Outcome(
            service=self.service,
            workspace=self.workspace,
            urgency=self.urgency,
            ended=now,
            first_token_s=first,
            between_tokens_p95_s=gap,
            kind=self._kind,
            refusal_type=self._refusal_type,
            within_rate=self._refusal_type != RefusalType.RATE_LIMITED.slug,
            prefill_tokens=self.prefill_tokens,
            wasted_prefill_tokens=max(0, self.prefill_tokens - self._prefill_used),
            output_tokens=self.output_tokens,
            demand_tokens=self.demand_tokens,
        )
