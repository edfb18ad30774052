"""Log where generations are placed, what is refused and how recent reports were."""

from sesameport.admission import FleetUse, Placement, QuotaDecision
from sesameport.entry import messages as m
from sesameport.telemetry.logs import get_logger

__all__ = [
    "fleet_view_fields",
    "log_over_quota",
    "log_placement",
    "log_refusal",
]

log = get_logger("entry")


def fleet_view_fields(use: FleetUse, now: float) -> dict:
    """Return log fields with the number of reporting hosts and the report age."""
    return {
        "hosts_heard": len(use.hosts()),
        "oldest_report_s": round(use.oldest_report_s(now), 3),
    }


def log_placement(
    req: m.AdmitGeneration, placement: Placement, use: FleetUse, now: float
) -> None:
    """Log the servers chosen for a generation and the memory reserved there."""
    prefill, decode = placement.prefill, placement.decode
    log.info(
        "generation placed",
        extra={
            "request_id": req.request_id,
            "priority": req.priority,
            "decode": decode.name,
            "prefill": prefill.name if prefill else "",
            "kv_tokens": placement.kv_tokens,
            "cached_tokens": round(placement.cached_tokens),
            "shared_tokens": placement.shared_tokens,
            "decode_reserved": round(use.total_for(decode.name).kv_tokens),
            "beyond_tokens": placement.beyond_tokens,
            **fleet_view_fields(use, now),
        },
    )


def log_refusal(
    req: m.AdmitGeneration,
    refused: m.Refused,
    forecast_s: float,
    use: FleetUse,
    now: float,
) -> None:
    """Log the refusal of a generation; ``forecast_s`` is its expected wait."""
    log.info(
        "generation not placed",
        extra={
            "request_id": req.request_id,
            "service": req.generation.service,
            "priority": req.priority,
            "reason": refused.reason,
            "forecast_s": round(forecast_s, 3),
            "is_returning": req.is_returning,
            "retry_after_s": round(refused.retry_after_s, 2),
            **fleet_view_fields(use, now),
        },
    )


def log_over_quota(
    req: m.AdmitGeneration | m.AdmitPlain,
    decision: QuotaDecision,
    use: FleetUse,
    now: float,
) -> None:
    """Log a request beyond the rate of its workspace."""
    log.info(
        "request over quota",
        extra={
            "request_id": req.request_id,
            "workspace": req.workspace,
            "charge": req.charge_tokens,
            "bucket": round(decision.level),
            "retry_after_s": round(decision.retry_after_s, 2),
            **fleet_view_fields(use, now),
        },
    )
