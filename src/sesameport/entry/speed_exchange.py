"""Exchange what hosts learned of servers: their speeds and cached prefixes.

A host sends what its own requests showed and other hosts lack, at most
`MAX_SAMPLES` samples or `MAX_PARTS` cached parts in one message. The interval between
two messages grows with the number of hosts, so the bytes that a host receives do not.
All of it is advisory: a host that gets nothing relies on its own requests.
"""

import random
from collections.abc import Callable

from sesameport.entry import messages as m
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.learned_servers import LearnedServers
from sesameport.telemetry.logs import get_logger

__all__ = ["SpeedExchange"]

MAX_SAMPLES = 20
MAX_PARTS = 24
"""Largest number of entries in a message: less than 1,000 bytes of either kind."""

MIN_INTERVAL_S = 1.0
INTERVAL_PER_HOST_S = 0.05
"""The time between two messages of a kind is the greater of the minimum and the product
with the number of hosts, seconds. A host thereby receives at most 20 messages of each
kind a second, 40,000 bytes, or 6 % of a link of 5 Mbit/s."""

MAX_LOGGED_SERVERS = 8
"""Number of servers whose changes are named in one log line."""

log = get_logger("entry")


class SpeedExchange:
    """Send what one host learned and apply what others did; not thread-safe.

    Parameters
    ----------
    learned : LearnedServers
        What this host learned.
    admission : AdmissionController
        Registered servers and their use. Reports about other servers are ignored.
    publish : callable
        Sends `SpeedReports` and `PrefixReports` to the other hosts.
    metrics : Metrics
        Gauges of unequal servers and cached parts.
    rng : random.Random
        Orders what is repeated for new hosts.
    """

    def __init__(
        self,
        learned: LearnedServers,
        admission: AdmissionController,
        publish: Callable[[m.SpeedReports | m.PrefixReports], None],
        metrics,
        rng: random.Random | None = None,
    ):
        self._learned = learned
        self._admission = admission
        self._registry = admission.registry
        self._publish = publish
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._sent_at = float("-inf")
        self._expired_at: float | None = None
        self._unequal: dict[str, float] = {}

    def handlers(self) -> dict[type, Callable]:
        """Return the handlers of the messages from which this host learns."""
        return {
            m.AdmitGeneration: self._admit_generation,
            m.PrefillEnded: self._handle_prefill_ended,
            m.RunEnded: self._handle_run_ended,
            m.SpeedReports: self.apply_speeds,
            m.PrefixReports: self.apply_prefixes,
        }

    def _admit_generation(self, message: m.AdmitGeneration, now: float) -> None:
        if message.is_first_attempt:
            self._learned.record_request(message.generation)
        self._admission.admit_generation(message, now)

    def _handle_prefill_ended(self, message: m.PrefillEnded, now: float) -> None:
        self._learned.record_prefill(message, now)
        self._count_shared(message)
        self._admission.handle_prefill_ended(message, now)

    def _count_shared(self, message: m.PrefillEnded) -> None:
        """Count the shared tokens of a prefill by whether they were expected."""
        placement = message.placement
        if not message.succeeded or placement.prefill is None:
            return
        shared = placement.shared_tokens
        cached = min(shared, round(placement.cached_tokens))
        for expected, tokens in (("cached", cached), ("prefilled", shared - cached)):
            if tokens <= 0:
                continue
            self._metrics.count(
                "sesameport_entry_shared_tokens_total", tokens, expected=expected
            )

    def _handle_run_ended(self, message: m.RunEnded, now: float) -> None:
        self._learned.record_run(message, self._admission.use, now)
        self._admission.handle_run_ended(message, now)

    def apply_speeds(self, message: m.SpeedReports, now: float) -> None:
        """Add the samples of another host."""
        for report in message.reports:
            server = self._registry.get(report.server)
            if server is not None:
                self._learned.speeds.merge(report, server, now)

    def apply_prefixes(self, message: m.PrefixReports, now: float) -> None:
        """Add the cached parts that another host knows."""
        for report in message.reports:
            server = self._registry.get(report.server)
            if server is not None:
                self._learned.prefixes.merge(report, server, now)

    def repeat(self, hosts: int, are_new: bool, now: float) -> None:
        """Forget what is too old, and send what other hosts lack if it is time."""
        elapsed_s = 0.0 if self._expired_at is None else now - self._expired_at
        self._expired_at = now
        admission = self._admission
        self._learned.expire(
            self._registry, admission.use, admission.workload_mix, elapsed_s, now
        )
        if are_new:
            order = iter(self._rng.random, None)
            self._learned.speeds.queue_summaries(order, now)
        interval_s = max(MIN_INTERVAL_S, INTERVAL_PER_HOST_S * hosts)
        if now - self._sent_at < interval_s:
            return
        self._sent_at = now
        speeds = self._learned.speeds.take_reports(MAX_SAMPLES, now)
        prefixes = self._learned.prefixes.take_reports(MAX_PARTS, now)
        if hosts > 1 and speeds:
            self._publish(m.SpeedReports(tuple(speeds)))
        if hosts > 1 and prefixes:
            self._publish(m.PrefixReports(tuple(prefixes)))
        self._log_changes(now)

    def _log_changes(self, now: float) -> None:
        """Log servers that became unequal to their service, or equal again."""
        unequal = self._learned.speeds.unequal(now)
        began = sorted(unequal.keys() - self._unequal.keys())
        ended = sorted(self._unequal.keys() - unequal.keys())
        for event, names in (
            ("servers differ in speed", began),
            ("servers as fast as others", ended),
        ):
            if names:
                named = names[:MAX_LOGGED_SERVERS]
                factors = [round(unequal.get(name, 1.0), 2) for name in named]
                fields = {"servers": ",".join(named), "factors": factors}
                log.info(event, extra={**fields, "count": len(names)})
        self._unequal = unequal
        self._metrics.set("sesameport_entry_unequal_servers", len(unequal))
        count = self._learned.prefixes.count()
        self._metrics.set("sesameport_entry_cached_parts", count)
