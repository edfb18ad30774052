"""Run the prefill of a generation on the server that it was placed on."""

import time

import attrs
from result import Err, Ok

from sesameport.admission import DEFAULT_TIMEOUTS, Placement
from sesameport.entry import messages as m
from sesameport.entry.outcomes import OutcomeReporter
from sesameport.entry.prefill_reservation import PrefillReservation
from sesameport.entry.requests import CallFailure, FailureKind, KvSource, ServerClient

__all__ = ["PrefillHandler"]

HANDLE_USE_SHARE = 0.7
"""Share of a handle's lifetime in which it is offered to another decode server. The
remaining time allows the call to reach that server."""

LOST_RESPONSE_KINDS = frozenset({FailureKind.BROKEN, FailureKind.TIMEOUT})
HARMLESS_KINDS = LOST_RESPONSE_KINDS | {FailureKind.INTERRUPTED}
"""Failures after which a prefill may have run. It has produced no output."""


class PrefillHandler:
    """Run prefills, each on the thread of its caller's connection.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor.
    calls : ServerClient
        Client of the engines.
    outcomes : OutcomeReporter
        Records failed calls.
    """

    def __init__(self, actor, calls: ServerClient, outcomes: OutcomeReporter):
        self._actor = actor
        self._calls = calls
        self._outcomes = outcomes
        self._timeouts = DEFAULT_TIMEOUTS

    def run(
        self, progress, placement: Placement, reservation: PrefillReservation, caller
    ) -> CallFailure | None:
        """Run the prefill if the placement has one; return its failure or None."""
        server = placement.prefill
        if server is None:
            return None
        progress.source = None  # an earlier handle has expired
        began_at = time.monotonic()
        result = self._call_prefill(progress, placement, caller)
        now = time.monotonic()
        reservation.end(now - began_at, isinstance(result, Ok))
        match result:
            case Ok(prefilled):
                progress.has_arrived |= progress.has_prefilled
                progress.has_prefilled = True
                progress.servers.append(server.name)
                progress.source = KvSource(
                    prefilled.address, prefilled.handle, server.name
                )
                progress.source_expires_at = now + HANDLE_USE_SHARE * placement.handle_s
                return None
            case Err(failure):
                progress.excluded.add(server.name)
                if failure.kind in HARMLESS_KINDS:
                    failure = attrs.evolve(failure, kind=FailureKind.REFUSED)
                return failure

    def _call_prefill(self, progress, placement: Placement, caller):
        """Call the prefill server and retry once if its response was lost.

        The server still holds the KV cache, so the retry needs no second prefill.
        Another server would have to run the prefill again.
        """
        server = placement.prefill
        attempt_timeout_s = self._timeouts.timeout_s(placement)
        retries = 1
        while True:
            result = self._calls.prefill(
                server.address, server.name, progress.req, caller, attempt_timeout_s
            )
            if result.is_ok():
                return result
            failure = result.unwrap_err()
            progress.has_arrived |= failure.kind.has_arrived()
            will_retry = failure.kind in LOST_RESPONSE_KINDS and retries > 0
            if failure.kind == FailureKind.TIMEOUT:
                will_retry &= self._timeouts.is_likely_lost(placement)
            if will_retry:
                retry = m.ConsumeRetry(server.service, server.name)
                will_retry = self._actor.ask(retry)
            self._outcomes.record_failure(
                progress, server, failure, "prefill", will_retry
            )
            if not will_retry:
                return result
            retries -= 1
