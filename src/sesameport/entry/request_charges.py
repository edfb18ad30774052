"""Charge requests to the rates of their workspaces."""

from sesameport.admission import FleetQuota, FleetUse, WindowedRetryBudget
from sesameport.entry import messages as m
from sesameport.entry.placement_log import log_over_quota

__all__ = ["charge_request"]


def charge_request(
    req: m.AdmitGeneration | m.AdmitPlain,
    service: str,
    quota: FleetQuota,
    budget: WindowedRetryBudget,
    use: FleetUse,
    now: float,
) -> m.Refused | None:
    """Charge a request to its workspace; return a refusal if it is over quota."""
    decision = quota.charge(req.workspace, req.charge_tokens, now)
    if decision.is_within:
        budget.record_request(service, now)
        return None
    log_over_quota(req, decision, use, now)
    return m.Refused("over-quota", decision.retry_after_s, is_over_quota=True)
