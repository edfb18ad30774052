"""Release the reservations of requests that ended, and measure their engines."""

from sesameport.admission import FleetUse, ServerUse
from sesameport.entry import messages as m
from sesameport.entry.engine_measurements import EngineMeasurements

__all__ = ["release_prefill", "release_run"]


def release_prefill(
    message: m.PrefillEnded, use: FleetUse, measurements: EngineMeasurements
) -> str | None:
    """Release the reservation of a prefill.

    Return the service whose requests may fit now, or None.
    """
    placement = message.placement
    server = placement.prefill_server
    if server is None:
        return None
    prefill_tokens = placement.prefill_use().prefill_tokens
    use.add_local(server.name, ServerUse(0.0, 0, -prefill_tokens))
    tokens = placement.pending_use().pending_kv_tokens
    use.add_local(placement.decode.name, ServerUse(pending_kv_tokens=-tokens))
    if placement.prefill is not None and message.succeeded and message.seconds > 0:
        measurements.record_prefill(placement, message.seconds)
    return server.service


def release_run(
    message: m.RunEnded, use: FleetUse, measurements: EngineMeasurements
) -> str | None:
    """Release the decode server or plain server of a request.

    Return the service whose requests may fit now, or None.
    """
    if message.plain is not None:
        use.add_local(message.plain.name, ServerUse(0.0, -1, 0.0))
    placement = message.placement
    if placement is None:
        return None
    kv_tokens = placement.decode_use().kv_tokens
    use.add_local(placement.decode.name, ServerUse(-kv_tokens, -1, 0.0))
    if message.succeeded:
        measurements.record_decode(placement, message.seconds)
    return placement.decode.service
