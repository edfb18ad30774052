"""Apply evacuations of data centres, and show their progress."""

import math
from collections.abc import Callable

from sesameport.admission import Evacuations, FleetUse, ServerRegistry
from sesameport.entry import messages as m
from sesameport.entry.missed_configuration import Missed
from sesameport.telemetry.logs import get_logger

__all__ = ["EvacuationController"]

RETAIN_PERIOD_S = 30.0
"""Period at which removed servers are forgotten, seconds. A request may be sent this
long after its placement at most."""

MISSED_AFTER_S = 0.8
"""Time after a report of another host from which the store is read again, seconds. A
change reaches hosts within about 0.5 s of each other; see ``admission.VersionLag``."""

KEPT_S = 5.0
"""Time for which evacuations are kept that a listing does not have after the store came
back from an older copy, seconds. The operator writes them again."""

log = get_logger("entry")


class EvacuationController:
    """Apply evacuations on one host; not thread-safe.

    Parameters
    ----------
    evacuations : Evacuations
        State that is changed.
    registry : ServerRegistry
        Registered servers.
    use : FleetUse
        Requests that run on each server.
    metrics : Metrics
        Gauges.
    host : str
        Name of this host.
    publish : callable
        Sends an `EvacuationReport` to the other hosts.
    on_missed : callable
        Called with `Missed.EVACUATIONS` when these should be read again.
    on_evacuation_ended : callable
        Called with the data centre and the current time when an evacuation ends. The
        servers there may be cold then.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        registry: ServerRegistry,
        use: FleetUse,
        metrics,
        host: str,
        publish: Callable[[m.EvacuationReport], None],
        on_missed: Callable[[Missed], None],
        on_evacuation_ended: Callable[[str, float], None],
    ):
        self._evacuations = evacuations
        self._registry = registry
        self._use = use
        self._metrics = metrics
        self._host = host
        self._publish = publish
        self._on_missed = on_missed
        self._reported: tuple[tuple[str, ...], float] | None = None
        self._on_evacuation_ended = on_evacuation_ended
        self._running: dict[str, int] = {}
        self._retain_at = 0.0
        self._kept: frozenset[str] = frozenset()
        self._kept_until = -math.inf
        self._listed: tuple[str, ...] | None = None

    def begin_era(self, now: float) -> None:
        """Keep the present evacuations while the store may not have them any more."""
        self._kept = frozenset(self._evacuations.names())
        self._kept_until, self._listed = now + KEPT_S, None

    def apply(
        self, message: m.EvacuationsListed | m.EvacuationsChanged, now: float
    ) -> bool:
        """Apply a listing or changes of the store; return whether anything changed."""
        if isinstance(message, m.EvacuationsListed):
            self._listed = message.names
            names = tuple({*message.names, *self._kept})
            has_changed = self._replace(names, "store", now)
        else:
            has_changed = self._apply_changes(message, now)
        if has_changed:
            self._publish(m.EvacuationReport(self._host, self._evacuations.names()))
        return has_changed

    def record_report(self, message: m.EvacuationReport, now: float) -> None:
        """Remember what another host knows, to read the store again if it differs."""
        self._reported = (message.names, now)

    def _replace(self, names: tuple[str, ...], source: str, now: float) -> bool:
        self._evacuations.is_known = True
        began, ended = self._evacuations.replace(names, now)
        self._evacuations.updated_at = now
        self._record(began, ended, source, now)
        return bool(began or ended)

    def _apply_changes(self, message: m.EvacuationsChanged, now: float) -> bool:
        began = [name for name in message.added if self._evacuations.add(name, now)]
        ended = [
            name for name in message.removed if self._evacuations.remove(name, now)
        ]
        self._kept -= {*message.added, *message.removed}
        if self._listed is not None:
            listed = {*self._listed, *message.added} - {*message.removed}
            self._listed = tuple(listed)
        self._evacuations.updated_at = now
        self._record(began, ended, "store", now)
        return bool(began or ended)

    def apply_snapshot(self, snapshot: m.FleetSnapshot, now: float) -> bool:
        """Apply another host's state if it is newer; return whether it changed.

        A host of an older build, or one that does not follow evacuations, states none.
        A host that knows nothing then serves rather than wait for the store.
        """
        updated_at = now - max(0.0, snapshot.evacuated_age_s)
        if snapshot.evacuated is None:
            self._evacuations.is_known = True
            return False
        if updated_at <= self._evacuations.updated_at:
            return False
        source = f"host {snapshot.host}"
        has_changed = self._replace(snapshot.evacuated, source, now)
        self._evacuations.updated_at = updated_at
        return has_changed

    def snapshot_fields(self, now: float) -> tuple[tuple[str, ...] | None, float]:
        """Return the evacuations and their age for a snapshot, None if unknown."""
        updated_at = self._evacuations.updated_at
        if updated_at == -math.inf:
            return None, 0.0
        return self._evacuations.names(), now - updated_at

    def check_progress(self, now: float) -> None:
        """Log when the last request of an evacuated data centre has ended here."""
        self._end_kept(now)
        for name in self._evacuations.names():
            running = self._count_running(name)
            if running == 0 and self._running.get(name) != 0:
                self._log("evacuation complete", name, now)
            self._running[name] = running
        self._metrics.set(
            "sesameport_entry_evacuated_requests", sum(self._running.values())
        )
        if self._reported is not None and now >= self._reported[1] + MISSED_AFTER_S:
            names, self._reported = self._reported[0], None
            if names != self._evacuations.names():
                log.warning("evacuation missed; reading again", extra={"newest": names})
                self._on_missed(Missed.EVACUATIONS)
        if now >= self._retain_at:
            self._retain_at = now + RETAIN_PERIOD_S
            self._evacuations.retain_servers(
                server.name for server in self._registry.all()
            )

    def _end_kept(self, now: float) -> None:
        """End evacuations that the operator has not written again."""
        if not self._kept or now < self._kept_until:
            return
        self._kept = frozenset()
        if self._listed is not None:
            self._replace(self._listed, "store", now)

    def _record(self, began, ended, source: str, now: float) -> None:
        for name in began:
            fields = {"source": source, "running": self._count_running(name)}
            self._log("evacuation in force", name, now, **fields)
        for name in ended:
            self._running.pop(name, None)
            self._log("evacuation ended", name, now, source=source)
            self._on_evacuation_ended(name, now)
        if began or ended:
            names = self._evacuations.names()
            self._metrics.set("sesameport_entry_evacuated_data_centres", len(names))
            self.check_progress(now)

    def _count_running(self, data_centre: str) -> int:
        """Return the requests of this host at the servers of a data centre."""
        uses = [
            self._use.local.get(server)
            for server in self._evacuations.servers_in(data_centre)
        ]
        return sum(
            max(use.active_requests, int(use.prefill_tokens > 0))
            for use in uses
            if use is not None
        )

    def _log(self, event: str, data_centre: str, now: float, **fields) -> None:
        last_sent_s = self._evacuations.last_sent_s(data_centre, now)
        log.info(
            event,
            extra={
                "evacuated": data_centre,
                "servers": len(self._evacuations.servers_in(data_centre)),
                "last_sent_s": None if last_sent_s is None else round(last_sent_s, 3),
                **fields,
            },
        )
