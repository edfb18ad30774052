"""Define and update Prometheus metrics from any thread."""

import threading

import attrs
from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

from sesameport.telemetry.outcomes import Outcome, OutcomeKind

__all__ = ["ENTRY_METRICS", "METRICS", "MetricDefinition", "Metrics"]

LATENCY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 0.8, 1.0, 1.3, 2.0, 5.0, 15.0, 60.0, 300.0)
"""Upper bounds of latency buckets, seconds.

1.3 s is the first-token target, so the share of requests within it is exact.
"""

TOKEN_INTERVAL_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.042, 0.06, 0.1, 0.25, 1.0, 5.0)
"""Upper bounds of the buckets for the time between tokens, seconds.

0.042 s is the target.
"""


@attrs.frozen
class MetricDefinition:
    """Represent the definition of a metric."""

    name: str
    collector: type
    help: str
    labels: tuple[str, ...] = ()
    buckets: tuple[float, ...] = ()


def _counter(name: str, help_text: str, *labels: str) -> MetricDefinition:
    return MetricDefinition(f"sesameport_{name}_total", Counter, help_text, labels)


def _gauge(name: str, help_text: str, *labels: str) -> MetricDefinition:
    return MetricDefinition(f"sesameport_{name}", Gauge, help_text, labels)


def _histogram(
    name: str, help_text: str, buckets: tuple[float, ...], *labels: str
) -> MetricDefinition:
    return MetricDefinition(f"sesameport_{name}", Histogram, help_text, labels, buckets)


METRICS = (
    _counter("requests", "Requests that ended.", "service", "urgency", "outcome"),
    _counter("eligible_requests", "Requests that the objective counts.", "service"),
    _counter("good_requests", "Whole answers within both targets.", "service"),
    _counter("refusals", "Refusals.", "service", "type"),
    _counter("wrongful_refusals", "Refusals within the rate.", "service"),
    _counter("prefill_tokens", "Tokens prefilled.", "service"),
    _counter("wasted_prefill_tokens", "Prefilled tokens without use.", "service"),
    _counter("output_tokens", "Tokens sent to callers.", "service"),
    _histogram(
        "first_token_seconds",
        "Time from arrival to the first token.",
        LATENCY_BUCKETS_S,
        "service",
        "urgency",
    ),
    _histogram(
        "between_tokens_seconds",
        "95th percentile of the time between tokens of one answer.",
        TOKEN_INTERVAL_BUCKETS_S,
        "service",
    ),
    _histogram(
        "waiting_seconds",
        "Time a request waited before its prefill.",
        LATENCY_BUCKETS_S,
        "service",
        "urgency",
    ),
    _gauge("requests_in_flight", "Requests dispatched and not ended.", "service"),
    _gauge("requests_waiting", "Requests that wait.", "service", "urgency"),
    _gauge("holds", "Open holds on backend servers and links.", "kind"),
    _counter("hold_cancels", "Cancels of holds.", "kind", "result"),
    _counter("abandoned_events", "Dropped events of abandoned attempts."),
    _counter("retries", "Attempts after the first.", "reason"),
    _counter("kv_transfer_bytes", "KV cache transferred.", "source", "target"),
    _counter("decisions", "Decision records.", "kind", "reason"),
    _counter("platform_calls", "Calls to the platform.", "operation", "result"),
    _counter("peer_messages", "Messages between hosts.", "kind", "direction"),
    _counter("peer_bytes", "Bytes between hosts.", "direction"),
    _counter("peer_dropped_messages", "Messages to hosts that were dropped.", "kind"),
    _gauge("configuration_age_seconds", "Age of the configuration."),
    _gauge("document_version", "Version in force.", "service"),
    _gauge("document_findings", "Findings of a refused version.", "service"),
    _gauge("members", "Hosts in the membership view.", "member_data_centre", "state"),
    _gauge("leases_held", "Leases that this host holds.", "kind"),
    _counter("limit_refusals", "Clients refused or cut off.", "bound"),
    _gauge("ready", "1 while the host accepts requests, else 0."),
)
"""Metrics of a daemon.

No metric has a workspace label, because 1,100 workspaces on 340 daemons would create
374,000 time series per metric. `BurnCounters` counts by workspace instead.
"""

ENTRY_METRICS = (
    _counter("entry_requests", "Requests that ended.", "kind", "outcome", "reason"),
    _histogram(
        "entry_answer_seconds",
        "Time to the answer or to the first event of a served request.",
        LATENCY_BUCKETS_S,
        "kind",
    ),
    _histogram(
        "entry_pause_seconds",
        "Longest pause between two events of a served stream.",
        LATENCY_BUCKETS_S,
        "kind",
    ),
    _counter("platform_calls", "Calls to the platform.", "operation", "result"),
    _counter("entry_server_crashes", "Crashes with a request in flight.", "call"),
    _counter("entry_limited_calls", "Calls of servers that name a limit.", "call"),
    _counter("entry_memory_leases", "Leases of decode memory.", "result"),
    _counter("entry_urgent_leases", "Leases beyond reserved memory.", "result"),
    _counter("entry_cold_calls", "Calls of cold servers.", "call"),
    _counter("role_orders", "Orders to change a role.", "result"),
    _counter("log_lines_dropped", "Log lines that did not fit the buffer."),
    _counter(
        "entry_evacuated_calls", "Calls not sent to an evacuated data centre.", "call"
    ),
    _counter("entry_malformed", "Stored objects that cannot be decoded.", "kind"),
    _counter(
        "thread_failures", "Unexpected exceptions of long-lived threads.", "thread"
    ),
    _gauge("entry_evacuated_data_centres", "Data centres that are evacuated."),
    _gauge(
        "entry_evacuated_requests", "Requests of this host in evacuated data centres."
    ),
    _counter("entry_limit_refusals", "Clients refused or cut off.", "bound"),
    _gauge("entry_account_bytes", "Memory held for callers and servers."),
    _gauge("entry_caller_connections", "Open connections of callers."),
    _counter("entry_missed_reads", "Reads of what other hosts know.", "kind"),
    _gauge("entry_hears_no_host", "1 while no other host reports, else 0."),
    _gauge("entry_version", "Version of the configuration in force."),
    _gauge("entry_limited_servers", "Servers that name a limit of requests."),
    _gauge("entry_cold_servers", "Servers that are cold."),
    _gauge("entry_unequal_servers", "Servers with a speed unlike their service's."),
    _gauge("entry_cached_parts", "Parts of prompts that engines may have cached."),
    _counter(
        "entry_shared_tokens",
        "Tokens of shared parts at prefill engines, as expected.",
        "expected",
    ),
    _gauge("entry_refused_subjects", "Subjects refused for crashing servers."),
    _gauge("entry_store_reachable", "1 while the store answers, else 0."),
    _gauge("entry_store_era", "Era that the store states, 0 without one."),
    _gauge("ready", "1 while the host accepts requests, else 0."),
)
"""Metrics of an entry host that runs on its users' platform."""


class Metrics:
    """Update and render the metrics of one process.

    This class is thread-safe. aioprometheus is made for asyncio and has no locks, so
    one lock guards all updates and the rendering.

    Parameters
    ----------
    host, data_centre : str
        Labels added to every sample. No definition may use these label names.
    definitions : sequence of MetricDefinition
        Metrics to register.
    """

    content_type = text.TEXT_CONTENT_TYPE

    def __init__(
        self,
        host: str,
        data_centre: str,
        definitions: tuple[MetricDefinition, ...] = METRICS,
    ):
        self._lock = threading.Lock()
        self._registry = Registry()
        self._formatter = text.TextFormatter()
        self._labels = {
            definition.name: frozenset(definition.labels) for definition in definitions
        }
        const_labels = {"host": _escape(host), "data_centre": _escape(data_centre)}
        for definition in definitions:
            options = {"buckets": definition.buckets} if definition.buckets else {}
            definition.collector(
                definition.name,
                definition.help,
                const_labels,
                registry=self._registry,
                **options,
            )

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add an amount to a counter.

        Raises
        ------
        KeyError
            If no metric has this name.
        ValueError
            If the labels differ from the definition.
        """
        with self._lock:
            self._get_collector(name, labels).add(_escape_labels(labels), amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        with self._lock:
            self._get_collector(name, labels).set(_escape_labels(labels), value)

    def clear(self, name: str) -> None:
        """Remove all samples of a gauge, so that old label values disappear."""
        with self._lock:
            self._registry.get(name).values.clear()

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Add an observation to a histogram."""
        with self._lock:
            self._get_collector(name, labels).add(_escape_labels(labels), float(value))

    def record(self, outcome: Outcome, is_good: bool) -> None:
        """Update all request metrics for an ended request."""
        service, urgency = outcome.service, str(outcome.urgency)
        self.count(
            "sesameport_requests_total",
            service=service,
            urgency=urgency,
            outcome=str(outcome.kind),
        )
        if outcome.is_eligible():
            self.count("sesameport_eligible_requests_total", service=service)
        if is_good:
            self.count("sesameport_good_requests_total", service=service)
        if outcome.kind == OutcomeKind.REFUSED:
            slug = outcome.refusal_type
            self.count("sesameport_refusals_total", service=service, type=slug)
        if outcome.is_wrongful():
            self.count("sesameport_wrongful_refusals_total", service=service)
        for field in ("prefill_tokens", "wasted_prefill_tokens", "output_tokens"):
            amount = getattr(outcome, field)
            if amount:
                self.count(f"sesameport_{field}_total", amount, service=service)
        if outcome.first_token_s is not None:
            self.observe(
                "sesameport_first_token_seconds",
                outcome.first_token_s,
                service=service,
                urgency=urgency,
            )
        if outcome.between_tokens_p95_s is not None:
            self.observe(
                "sesameport_between_tokens_seconds",
                outcome.between_tokens_p95_s,
                service=service,
            )

    def render(self) -> bytes:
        """Return all samples in the Prometheus text format for ``GET /metrics``."""
        with self._lock:
            return self._formatter.marshall(self._registry)

    def _get_collector(self, name: str, labels: dict[str, str]):
        if self._labels[name] != labels.keys():
            expected = ", ".join(sorted(self._labels[name])) or "none"
            raise ValueError(f"labels of {name} are {expected}, got {sorted(labels)}")
        return self._registry.get(name)


def _escape_labels(labels: dict[str, str]) -> dict[str, str]:
    return {name: _escape(value) for name, value in labels.items()}


def _escape(value: str) -> str:
    # The text format requires escapes, but aioprometheus does not escape label values.
    value = str(value).replace("\\", r"\\").replace('"', r"\"")
    return value.replace("\n", r"\n")
