"""Explain where a request would go now, without sending it.

The decision is that of the admission controller itself. What is added is the state of
each candidate and what excludes it.
"""

import copy
import math
from collections.abc import Callable, Mapping

import attrs
import pykka
from result import Err, Ok

from sesameport.admission import (
    GenerationRequest,
    PlacementPolicy,
    Predictions,
    RetryAfterPolicy,
    WaitingQueue,
    WaitingRequest,
    prefix_parts,
    prefix_preference,
    reserved_kv_tokens,
    shared_parts,
    typical_speed,
)
from sesameport.domain import ServerState
from sesameport.entry import messages as m
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.learned_servers import LearnedServers
from sesameport.entry.servers import EntryServer

__all__ = ["PlacementExplainer"]

KEY = -1
"""Key of the request in the copy of a waiting queue; keys of requests are positive."""


@attrs.frozen
class _Decisions:
    """Hold the functions of an admission controller that decide.

    They are the controller's own and not public, so that an explanation cannot differ
    from the decision and no other module depends on them.
    """

    choose: Callable
    choose_plain: Callable
    excessive_wait_s: Callable
    extra_share: Callable
    queues: Mapping[str, WaitingQueue]
    prefill_speeds: Mapping[str, float]

    @classmethod
    def of(cls, admission: AdmissionController) -> "_Decisions":
        """Return the functions and state of a controller."""
        return cls(
            admission._choose,
            admission._plain._choose,
            admission._placement.excessive_wait_s,
            admission._placement.extra_share,
            admission.waiting.queues,
            admission._placement.measurements.prefill_speeds,
        )


class PlacementExplainer:
    """Explain the placement of requests at one host; not thread-safe.

    Parameters
    ----------
    admission : AdmissionController
        Decides where requests go. Its state is read only.
    learned : LearnedServers
        What this host learned of servers.
    data_centre : str
        Data centre of this host.
    """

    def __init__(
        self, admission: AdmissionController, learned: LearnedServers, data_centre: str
    ):
        self._admission = admission
        self._decisions = _Decisions.of(admission)
        self._learned = learned
        self._data_centre = data_centre
        self._policy = PlacementPolicy()

    def explain(self, request: m.ExplainPlacement, now: float) -> dict:
        """Return what would happen to a request of a service, as JSON types."""
        admission = self._admission
        usable = admission.candidates.usable(request, now)
        permitted = admission.permits.usable(usable, now)
        charge_tokens = request.charge_tokens
        quota = admission.quota.check(request.workspace, charge_tokens, now)
        service = admission.configuration and admission.configuration.service(
            request.service
        )
        if service is not None and service.engine is not None:
            decision, candidates = self._generation(request, service.engine, now)
        else:
            decision, candidates = self._plain(request, usable, now)
        if not quota.is_within:
            retry_after_s = round(quota.retry_after_s, 2)
            decision = {"refused": "over-quota", "retry_after_s": retry_after_s}
        usable_names = {server.name for server in usable}
        permitted_names = {server.name for server in permitted}
        chosen = {
            decision.get("decode"),
            decision.get("prefill"),
            decision.get("plain"),
        }
        found = []
        for server in sorted(admission.registry.all(), key=lambda item: item.name):
            if server.service != request.service:
                continue
            fields = candidates.get(server.name, {})
            excluded = self._exclusion(
                request, server, usable_names, permitted_names, now
            )
            found.append(
                {
                    "server": server.name,
                    "role": str(server.role),
                    "data_centre": server.data_centre,
                    "is_chosen": server.name in chosen,
                    **fields,
                    "excluded": excluded or fields.get("excluded", ""),
                }
            )
        return {"service": request.service, "decision": decision, "candidates": found}

    def _exclusion(
        self,
        request: m.ExplainPlacement,
        server: EntryServer,
        usable,
        permitted,
        now: float,
    ) -> str:
        """Return why a server gets no new requests, or an empty string."""
        admission = self._admission
        if server.state != ServerState.LIVE:
            return f"state {server.state}"
        if admission.evacuations.is_evacuated(server.data_centre):
            return "the data centre is evacuated"
        if not admission.candidates.is_home(server, request):
            return "outside the home regions"
        if server.name not in usable:
            if admission.health.is_paused_here(server.name, now):
                return "paused after failures"
            if admission.notices.is_leaving(server.name):
                return "says that it leaves"
            if not admission.notices.takes_requests(server.name, now):
                return "asked for a pause"
            if admission.registry.is_near_removal(server.name, now):
                return "entry expires"
            return "reported unreachable"
        return "" if server.name in permitted else "no permit for its limit"

    def _plain(self, request, usable, now: float) -> tuple[dict, dict]:
        admission = self._admission
        factors = self._learned.plain_factors(request.service, now)
        candidates = {}
        for server in admission.registry.all():
            active = admission.use.total_for(server.name).active_requests
            candidates[server.name] = {
                "active": active,
                "slots": server.slots,
                "time_factor": round(factors.get(server.name, 1.0), 2),
            }
        server = self._decisions.choose_plain(request.service, usable, now)
        if server is not None:
            return {"plain": server.name}, candidates
        if not usable:
            reason = admission.candidates.plain_shortage(request, now)
            return _refused(reason), candidates
        wait = admission.permits.wait_for(usable, 0, now)
        wait_s = None if wait is None else round(wait.seconds, 2)
        return {"waits_for": "permit", "forecast_s": wait_s}, candidates

    def _generation(self, request, engine, now: float) -> tuple[dict, dict]:
        admission = self._admission
        parts = prefix_parts(
            request.part_ids, request.part_tokens, request.prompt_tokens
        )
        req = GenerationRequest(
            request.service,
            self._data_centre,
            request.prompt_tokens,
            request.output_tokens,
            allowed_regions=request.allowed_regions,
            prefix=parts,
        )
        predictions = self._learned.predict(req, engine, admission.use, now)
        admit = m.AdmitGeneration(
            KEY,
            "",
            req,
            request.workspace,
            0.0,
            now + request.target_s,
            now + request.patience_s,
            False,
            request.priority,
            pykka.ThreadingFuture(),
        )
        memory_share = self._policy.memory_share + self._decisions.extra_share(admit)
        memory = memory_share * engine.kv_tokens
        servers = [
            server
            for server in admission.registry.all()
            if server.service == request.service
        ]
        candidates = {
            server.name: self._engine(server, req, predictions, memory, servers)
            for server in servers
        }
        if shared := shared_parts(parts):
            engines = [server for server in servers if server.can_prefill()]
            engines.sort(key=prefix_preference(shared), reverse=True)
            for rank, server in enumerate(engines, 1):
                candidates[server.name]["prefix_rank"] = rank
        match self._decisions.choose(admit, now):
            case Ok(placement):
                prefill = placement.prefill_server
                decision = {
                    "decode": placement.decode.name,
                    "prefill": prefill.name if prefill else "",
                    "kv_tokens": placement.kv_tokens,
                    "prefill_s": round(placement.expected_prefill_s, 3),
                    "cached_tokens": round(placement.cached_tokens),
                }
                return decision, candidates
            case Err(found):
                shortage = found
        if reason := admission.candidates.decode_shortage(req, now):
            return _refused(reason), candidates
        wait_s = self._excessive_wait_s(admit, now)
        if wait_s is None:
            return {"waits_for": str(shortage)}, candidates
        forecast_s = round(wait_s, 2) if math.isfinite(wait_s) else None
        return _refused("no-decode-memory-soon", forecast_s=forecast_s), candidates

    def _excessive_wait_s(self, admit: m.AdmitGeneration, now: float) -> float | None:
        """Return the forecast wait if it is too long for the request, else None."""
        req = admit.generation
        waiting = WaitingRequest(
            KEY,
            now,
            admit.target_at,
            admit.disconnects_at,
            False,
            admit.priority,
            reserved_kv_tokens(req.prompt_tokens, req.output_tokens),
        )
        queue = self._decisions.queues.get(req.service, WaitingQueue())
        queue = copy.deepcopy(queue)
        queue.try_add(waiting)
        return self._decisions.excessive_wait_s(admit, queue, waiting, now)

    def _engine(
        self,
        server: EntryServer,
        req: GenerationRequest,
        predictions: Predictions,
        memory: float,
        servers: list[EntryServer],
    ) -> dict:
        use = self._admission.use.total_for(server.name)
        fields: dict = {
            "cached_tokens": round(predictions.cached_tokens.get(server.name, 0.0))
        }
        excluded = ""
        if server.can_prefill():
            speeds = predictions.prefill_speeds or self._decisions.prefill_speeds
            usual = predictions.typical_prefill_speed
            usual = usual or self._policy.prefill_tokens_per_s
            if shared_parts(req.prefix) and not predictions.prefill_speeds:
                speeds, usual = {}, typical_speed(speeds, servers, usual)
            speed = speeds.get(server.name, usual)
            wait_s = use.prefill_tokens / speed
            tokens = req.prompt_tokens - fields["cached_tokens"]
            fields["wait_s"] = round(wait_s, 3)
            fields["prefill_s"] = round(tokens / speed, 3)
            if wait_s > self._policy.max_prefill_wait_s:
                excluded = "prefill queue is too long"
        if server.can_decode():
            needed = reserved_kv_tokens(req.prompt_tokens, req.output_tokens)
            free = memory - use.kv_tokens
            fields["free_tokens"] = round(free)
            fields["active"], fields["slots"] = use.active_requests, server.slots
            factor = predictions.gap_factors.get(server.name, 1.0)
            fields["gap_factor"] = round(factor, 2)
            if use.active_requests >= server.slots:
                excluded = "no free slot"
            elif needed > free:
                excluded = "not enough free memory"
        return {**fields, "excluded": excluded}


def _refused(reason: str, **fields) -> dict:
    """Return a refusal with the range of its Retry-After, seconds."""
    policy = RetryAfterPolicy()
    longest_s = round(policy.min_delay_s + policy.jitter_s, 2)
    return {
        "refused": reason,
        "retry_after_s": [policy.min_delay_s, longest_s],
        **fields,
    }
