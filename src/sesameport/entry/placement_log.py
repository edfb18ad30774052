"""Log where generations are placed and how recent the reports were."""

from sesameport.admission import FleetUse, Placement
from sesameport.telemetry.logs import get_logger

__all__ = ["fleet_view_fields", "log_placement"]

log = get_logger("entry")


def fleet_view_fields(use: FleetUse, now: float) -> dict:
    """Return log fields with the number of reporting hosts and the report age."""
    return {
        "hosts_heard": len(use.hosts()),
        "oldest_report_s": round(use.oldest_report_s(now), 3),
    }


def log_placement(
    request_id: str, placement: Placement, use: FleetUse, now: float
) -> None:
    """Log the servers chosen for a generation and the memory reserved there."""
    prefill, decode = placement.prefill, placement.decode
    log.info(
        "generation placed",
        extra={
            "request_id": request_id,
            "decode": decode.name,
            "prefill": prefill.name if prefill else "",
            "kv_tokens": placement.kv_tokens,
            "decode_reserved": round(use.total_for(decode.name).kv_tokens),
            **fleet_view_fields(use, now),
        },
    )
