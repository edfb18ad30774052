"""Judge counts: burn rates, alerts, budgets and the service of each workspace."""

import enum
from collections.abc import Mapping

import attrs

from sesameport.telemetry.burn import (
    PERIOD_S,
    WINDOWS,
    BurnSnapshot,
    ServiceCounts,
    ServiceSnapshot,
    WorkspaceCounts,
)

__all__ = [
    "BURN_RULES",
    "LEAST_REQUESTS",
    "Budget",
    "BurnAlert",
    "BurnRule",
    "ServiceReport",
    "Severity",
    "WorkspaceReport",
    "burn_rate",
    "judge",
    "share_fairly",
]

LEAST_REQUESTS = 50
"""Requests in the long window below which no alert is raised.

With an objective of 95% and 50 requests, 3 bad ones are a burn rate of 1.2. Below
that, one or two bad requests of a small workspace would raise an alert.
"""


class Severity(enum.StrEnum):
    """Name what an alert asks for."""

    PAGE = "page"
    TICKET = "ticket"


@attrs.frozen
class BurnRule:
    """Give a burn rate that both a long and a short window must exceed.

    The figures are those of the SRE workbook, chapter 5: 14.4 spends 2% of a 30-day
    budget in 1 h, 6 spends 5% in 6 h, and 1 spends 10% in 3 d.
    """

    rate: float
    long: str
    short: str
    severity: Severity


BURN_RULES = (
    BurnRule(14.4, "1h", "5m", Severity.PAGE),
    BurnRule(6.0, "6h", "30m", Severity.PAGE),
    BurnRule(1.0, "3d", "6h", Severity.TICKET),
)


@attrs.frozen
class BurnAlert:
    """Describe a rule that holds now; an empty workspace means the whole service."""

    service: str
    workspace: str
    rule: BurnRule
    long_rate: float
    short_rate: float


@attrs.frozen
class Budget:
    """Describe an error budget.

    Attributes
    ----------
    left : float
        Part of the budget of 30 days that is left; below 0 when it is overspent.
    spent_in_s : float or None
        Seconds until it is spent at the burn rate of the last 6 h. None when that
        rate is 1 or lower, because the budget then lasts.
    """

    left: float
    spent_in_s: float | None


@attrs.frozen
class WorkspaceReport:
    """Describe how one workspace was served.

    Attributes
    ----------
    name : str
        Name of the workspace; empty for open routes.
    counts : WorkspaceCounts
        Counts over the window of the report.
    rates : dict of str to float or None
        Burn rates by window; None below the least count of requests.
    budget : Budget
        Its error budget.
    fair_share : float or None
        Tokens served over the tokens that max-min fairness gives it.
    """

    name: str
    counts: WorkspaceCounts
    rates: dict[str, float | None]
    budget: Budget
    fair_share: float | None


@attrs.frozen
class ServiceReport:
    """Describe how one service met its objective.

    Attributes
    ----------
    name : str
        Name of the service.
    objective : float
        Share of eligible requests that is to be good.
    window : str
        Window of the figures below.
    counts : ServiceCounts
        Counts over the window.
    goodput : float or None
        Good requests over eligible requests.
    wasted_prefill : float or None
        Wasted prefill tokens over prefill tokens.
    wrongful_refusals : float or None
        Wrongful refusals over eligible requests.
    rates : dict of str to float or None
        Burn rates by window.
    budget : Budget
        Error budget of the service.
    alerts : list of BurnAlert
        Alerts of the service and its workspaces, pages first.
    workspaces : list of WorkspaceReport
        Workspaces, worst served first.
    series : list of ServiceCounts
        Buckets of 10 minutes, newest first.
    """

    name: str
    objective: float
    window: str
    counts: ServiceCounts
    goodput: float | None
    wasted_prefill: float | None
    wrongful_refusals: float | None
    rates: dict[str, float | None]
    budget: Budget
    alerts: list[BurnAlert]
    workspaces: list[WorkspaceReport]
    series: list[ServiceCounts]

    def worst(self) -> WorkspaceReport | None:
        """Return the workspace that got the least of its fair share."""
        rated = [item for item in self.workspaces if item.fair_share is not None]
        return min(rated, key=lambda item: item.fair_share, default=None)


def burn_rate(eligible: int, good: int, objective: float) -> float:
    """Return the share of bad requests over the share that the objective allows.

    A rate of 1 spends the budget exactly over its period.
    """
    if eligible <= 0:
        return 0.0
    return (eligible - good) / eligible / (1.0 - objective)


def share_fairly(
    total: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a total.

    Nobody gets more than its demand; what is left of a small demand goes to the
    others by their weights.

    >>> share_fairly(9, {"a": 1, "b": 10, "c": 10}, {})
    {'a': 1, 'b': 4.0, 'c': 4.0}
    """
    shares: dict[str, float] = {}
    left = total
    # In rising order of demand over weight, each name either takes its whole demand
    # or, together with all names after it, its weighted part of what is left.
    order = sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0))
    weight_left = sum(weights.get(name, 1.0) for name in order)
    for name in order:
        weight = weights.get(name, 1.0)
        share = min(demands[name], left * weight / weight_left)
        shares[name] = share
        left -= share
        weight_left -= weight
    return shares


def judge(
    snapshot: BurnSnapshot, window: str = "1h", least_requests: int = LEAST_REQUESTS
) -> list[ServiceReport]:
    """Judge the merged counts of a fleet and return a report for each service.

    Parameters
    ----------
    snapshot : BurnSnapshot
        Counts, usually from `merge_snapshots`.
    window : str
        Name of the window for goodput, waste, refusals and fair shares.
    least_requests : int
        Requests in a rule's long window below which it raises no alert.
    """
    covered_s = max(snapshot.covered_s, default=0.0)
    reports = []
    for name in sorted(snapshot.services):
        service = snapshot.services[name]
        reports.append(_judge_service(name, service, window, least_requests, covered_s))
    return reports


def _judge_service(
    name: str,
    service: ServiceSnapshot,
    window: str,
    least_requests: int,
    covered_s: float,
) -> ServiceReport:
    objective = service.objective
    alerts = _alerts(name, "", service.windows, objective, least_requests)
    shares = _fair_shares(service, window)
    workspaces = []
    for workspace, windows in service.workspaces.items():
        alerts.extend(_alerts(name, workspace, windows, objective, least_requests))
        workspaces.append(
            WorkspaceReport(
                workspace,
                windows.get(window, WorkspaceCounts()),
                _rates(windows, objective, least_requests),
                _budget(windows, objective, covered_s),
                shares.get(workspace),
            )
        )
    workspaces.sort(key=_worst_first)
    alerts.sort(key=lambda item: (item.rule.severity, -item.long_rate, item.workspace))
    counts = service.windows.get(window, ServiceCounts())
    return ServiceReport(
        name,
        objective,
        window,
        counts,
        _ratio(counts.good, counts.eligible),
        _ratio(counts.wasted_prefill_tokens, counts.prefill_tokens),
        _ratio(counts.wrongful, counts.eligible),
        _rates(service.windows, objective, 1),
        _budget(service.windows, objective, covered_s),
        alerts,
        workspaces,
        service.series,
    )


def _fair_shares(service: ServiceSnapshot, window: str) -> dict[str, float]:
    counts = {
        name: windows[window]
        for name, windows in service.workspaces.items()
        if window in windows and windows[window].demand_tokens > 0
    }
    total = sum(item.served_tokens for item in counts.values())
    demands = {name: item.demand_tokens for name, item in counts.items()}
    fair = share_fairly(total, demands, service.weights)
    # With nothing served to anyone, nobody was treated worse than another.
    return {
        name: item.served_tokens / fair[name] if fair[name] else 1.0
        for name, item in counts.items()
    }


def _worst_first(report: WorkspaceReport) -> tuple:
    share = report.fair_share
    return (share is None, share or 0.0, report.budget.left, report.name)


def _rates(
    windows: Mapping, objective: float, least_requests: int
) -> dict[str, float | None]:
    rates: dict[str, float | None] = {}
    for window in WINDOWS:
        counts = windows.get(window)
        if counts is None or counts.eligible < least_requests:
            rates[window] = None
            continue
        rates[window] = burn_rate(counts.eligible, counts.good, objective)
    return rates


def _alerts(
    service: str,
    workspace: str,
    windows: Mapping,
    objective: float,
    least_requests: int,
) -> list[BurnAlert]:
    alerts = []
    for rule in BURN_RULES:
        long, short = windows.get(rule.long), windows.get(rule.short)
        if long is None or short is None or long.eligible < least_requests:
            continue
        long_rate = burn_rate(long.eligible, long.good, objective)
        short_rate = burn_rate(short.eligible, short.good, objective)
        if long_rate > rule.rate and short_rate > rule.rate:
            alerts.append(BurnAlert(service, workspace, rule, long_rate, short_rate))
    return alerts


def _budget(windows: Mapping, objective: float, covered_s: float) -> Budget:
    period = windows.get("30d")
    if period is None or period.eligible == 0:
        return Budget(1.0, None)
    # Counts that cover a part of the period spend that part of its budget.
    part = min(1.0, covered_s / PERIOD_S)
    left = 1.0 - burn_rate(period.eligible, period.good, objective) * part
    if left <= 0.0:
        return Budget(left, 0.0)
    recent = windows.get("6h")
    rate = burn_rate(recent.eligible, recent.good, objective) if recent else 0.0
    return Budget(left, left * PERIOD_S / rate if rate > 1.0 else None)


def _ratio(part: int, whole: int) -> float | None:
    return part / whole if whole else None
