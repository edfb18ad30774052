"""Evaluate service-level objectives: burn rates, alerts, budgets and fair shares."""

import enum
from collections.abc import Mapping

import attrs

from sesameport.telemetry.burn import (
    BUDGET_PERIOD_S,
    WINDOW_LENGTHS_S,
    BurnSnapshot,
    ServiceCounts,
    ServiceSnapshot,
    WorkspaceCounts,
)

__all__ = [
    "BURN_RULES",
    "MIN_REQUESTS",
    "Budget",
    "BurnAlert",
    "BurnRule",
    "ServiceReport",
    "Severity",
    "WorkspaceReport",
    "burn_rate",
    "evaluate_objectives",
    "max_min_shares",
]

MIN_REQUESTS = 50
"""Minimum number of requests in the long window for an alert.

With an objective of 95%, 3 bad requests out of 50 are a burn rate of 1.2. With fewer
requests, one or two bad ones of a small workspace would raise an alert.
"""


class Severity(enum.StrEnum):
    """Enumerate alert severities."""

    PAGE = "page"
    TICKET = "ticket"


@attrs.frozen
class BurnRule:
    """Represent an alert rule: a burn rate that two windows must both exceed.

    `BURN_RULES` uses the rates from chapter 5 of the SRE workbook: a rate of 14.4
    spends 2% of a 30-day budget in 1 h, 6 spends 5% in 6 h, and 1 spends 10% in 3 d.
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
    """Represent a firing rule; an empty workspace means the whole service."""

    service: str
    workspace: str
    rule: BurnRule
    long_rate: float
    short_rate: float


@attrs.frozen
class Budget:
    """Represent the state of an error budget.

    Attributes
    ----------
    left : float
        Remaining fraction of the 30-day budget; negative if it is overspent.
    spent_in_s : float or None
        Seconds until the budget is spent at the burn rate of the last 6 h. None if
        that rate is 1 or lower, because the budget is then never spent.
    """

    left: float
    spent_in_s: float | None


@attrs.frozen
class WorkspaceReport:
    """Represent the service level of one workspace.

    Attributes
    ----------
    name : str
        Name of the workspace; empty for open routes.
    counts : WorkspaceCounts
        Counts over the window of the report.
    rates : dict of str to float or None
        Burn rates by window; None if the window has too few requests.
    budget : Budget
        Error budget of the workspace.
    fair_share : float or None
        Ratio of the tokens served to the max-min fair share of the workspace.
    """

    name: str
    counts: WorkspaceCounts
    rates: dict[str, float | None]
    budget: Budget
    fair_share: float | None


@attrs.frozen
class ServiceReport:
    """Represent how well one service met its objective.

    Attributes
    ----------
    name : str
        Name of the service.
    objective : float
        Target share of good requests among the eligible ones.
    window : str
        Window of the fields from ``counts`` to ``wrongful_refusals``.
    counts : ServiceCounts
        Counts over the window.
    goodput : float or None
        Ratio of good requests to eligible requests.
    wasted_prefill : float or None
        Ratio of wasted prefill tokens to prefill tokens.
    wrongful_refusals : float or None
        Ratio of wrongful refusals to eligible requests.
    rates : dict of str to float or None
        Burn rates by window.
    budget : Budget
        Error budget of the service.
    alerts : list of BurnAlert
        Alerts of the service and its workspaces, pages before tickets.
    workspaces : list of WorkspaceReport
        Workspaces by fair share, lowest first.
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

    def worst_workspace(self) -> WorkspaceReport | None:
        """Return the workspace with the lowest fair share, or None."""
        rated = [report for report in self.workspaces if report.fair_share is not None]
        return min(rated, key=lambda report: report.fair_share, default=None)


def burn_rate(eligible: int, good: int, objective: float) -> float:
    """Return the ratio of the share of bad requests to the share allowed.

    At a rate of 1, the budget lasts exactly for its period.
    """
    if eligible <= 0:
        return 0.0
    return (eligible - good) / eligible / (1.0 - objective)


def max_min_shares(
    total: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair shares of a total.

    No share exceeds its demand. Capacity that a small demand does not use is divided
    among the others by weight.

    >>> max_min_shares(9, {"a": 1, "b": 10, "c": 10}, {})
    {'a': 1, 'b': 4.0, 'c': 4.0}
    """
    shares: dict[str, float] = {}
    remaining = total
    # In ascending order of demand over weight, each demand is either met in full or,
    # like all later ones, limited to its weighted part of the remaining total.
    order = sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0))
    remaining_weight = sum(weights.get(name, 1.0) for name in order)
    for name in order:
        weight = weights.get(name, 1.0)
        share = min(demands[name], remaining * weight / remaining_weight)
        shares[name] = share
        remaining -= share
        remaining_weight -= weight
    return shares


def evaluate_objectives(
    snapshot: BurnSnapshot, window: str = "1h", min_requests: int = MIN_REQUESTS
) -> list[ServiceReport]:
    """Return a report for each service from the merged counts of a fleet.

    Parameters
    ----------
    snapshot : BurnSnapshot
        Merged counts, usually from `merge_snapshots`.
    window : str
        Name of the window for goodput, wasted prefill, refusals and fair shares.
    min_requests : int
        Minimum number of requests in the long window of a rule for an alert.
    """
    covered_s = max(snapshot.covered_s, default=0.0)
    reports = []
    for name in sorted(snapshot.services):
        service = snapshot.services[name]
        reports.append(
            _evaluate_service(name, service, window, min_requests, covered_s)
        )
    return reports


def _evaluate_service(
    name: str,
    service: ServiceSnapshot,
    window: str,
    min_requests: int,
    covered_s: float,
) -> ServiceReport:
    objective = service.objective
    alerts = _find_alerts(name, "", service.windows, objective, min_requests)
    shares = _fair_shares(service, window)
    workspaces = []
    for workspace, windows in service.workspaces.items():
        alerts.extend(_find_alerts(name, workspace, windows, objective, min_requests))
        workspaces.append(
            WorkspaceReport(
                workspace,
                windows.get(window, WorkspaceCounts()),
                _burn_rates(windows, objective, min_requests),
                _error_budget(windows, objective, covered_s),
                shares.get(workspace),
            )
        )
    workspaces.sort(key=_workspace_sort_key)
    alerts.sort(
        key=lambda alert: (alert.rule.severity, -alert.long_rate, alert.workspace)
    )
    counts = service.windows.get(window, ServiceCounts())
    return ServiceReport(
        name,
        objective,
        window,
        counts,
        _ratio(counts.good, counts.eligible),
        _ratio(counts.wasted_prefill_tokens, counts.prefill_tokens),
        _ratio(counts.wrongful, counts.eligible),
        _burn_rates(service.windows, objective, 1),
        _error_budget(service.windows, objective, covered_s),
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
    total = sum(count.served_tokens for count in counts.values())
    demands = {name: count.demand_tokens for name, count in counts.items()}
    shares = max_min_shares(total, demands, service.weights)
    # If no tokens were served at all, all workspaces were treated equally.
    return {
        name: count.served_tokens / shares[name] if shares[name] else 1.0
        for name, count in counts.items()
    }


def _workspace_sort_key(report: WorkspaceReport) -> tuple:
    share = report.fair_share
    return (share is None, share or 0.0, report.budget.left, report.name)


def _burn_rates(
    windows: Mapping, objective: float, min_requests: int
) -> dict[str, float | None]:
    rates: dict[str, float | None] = {}
    for window in WINDOW_LENGTHS_S:
        counts = windows.get(window)
        if counts is None or counts.eligible < min_requests:
            rates[window] = None
            continue
        rates[window] = burn_rate(counts.eligible, counts.good, objective)
    return rates


def _find_alerts(
    service: str,
    workspace: str,
    windows: Mapping,
    objective: float,
    min_requests: int,
) -> list[BurnAlert]:
    alerts = []
    for rule in BURN_RULES:
        long, short = windows.get(rule.long), windows.get(rule.short)
        if long is None or short is None or long.eligible < min_requests:
            continue
        long_rate = burn_rate(long.eligible, long.good, objective)
        short_rate = burn_rate(short.eligible, short.good, objective)
        if long_rate > rule.rate and short_rate > rule.rate:
            alerts.append(BurnAlert(service, workspace, rule, long_rate, short_rate))
    return alerts


def _error_budget(windows: Mapping, objective: float, covered_s: float) -> Budget:
    period = windows.get("30d")
    if period is None or period.eligible == 0:
        return Budget(1.0, None)
    # Counts that cover only a fraction of the period can spend only that fraction of
    # the budget.
    covered_fraction = min(1.0, covered_s / BUDGET_PERIOD_S)
    left = 1.0 - burn_rate(period.eligible, period.good, objective) * covered_fraction
    if left <= 0.0:
        return Budget(left, 0.0)
    recent = windows.get("6h")
    rate = burn_rate(recent.eligible, recent.good, objective) if recent else 0.0
    return Budget(left, left * BUDGET_PERIOD_S / rate if rate > 1.0 else None)


def _ratio(numerator: int, denominator: int) -> float | None:
    return numerator / denominator if denominator else None
