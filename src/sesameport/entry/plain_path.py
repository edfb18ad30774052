"""Carry a request to a plain service and its answer back."""

import time

from result import Err, Ok

from sesameport.entry import messages as m
from sesameport.entry.outcomes import MAX_SENDS, Outcomes
from sesameport.entry.requests import (
    CallerGone,
    FailureKind,
    ServerCalls,
    read_whole,
)

__all__ = ["PlainPath"]

PATIENCE_TARGETS = 3.0
"""Targets of its route after which a repeatable request is tried at another server. Few
answers of a sound server take that long, and the second try still ends in time."""


class PlainPath:
    """Run plain requests, each on the thread of its caller.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor.
    calls : ServerCalls
        Client of the backend servers.
    outcomes : Outcomes
        Answers callers.
    """

    def __init__(self, actor, calls: ServerCalls, outcomes: Outcomes):
        self._actor = actor
        self._calls = calls
        self._outcomes = outcomes

    def call(self, progress, service, charge, reply, watch) -> None:
        """Send a request until a server has answered it, and answer its caller."""
        spends_budget, fallback = False, None
        while True:
            ask = m.AdmitPlain(
                progress.req.request_id,
                service,
                progress.req.workspace,
                charge,
                frozenset(progress.excluded),
                is_first=progress.sends == 0,
                spends_budget=spends_budget,
            )
            answer = self._actor.ask(ask)
            if isinstance(answer, m.Refused):
                if fallback is not None:
                    self._outcomes.deliver(progress, reply, *fallback)
                else:
                    self._outcomes.refuse(progress, reply, answer)
                return
            server = answer.plain
            progress.sends += 1
            progress.servers.append(server.name)
            progress.excluded.add(server.name)
            started = time.monotonic()
            try:
                outcome = self._try_plain(progress, server, watch)
            finally:
                ended = m.RunEnded(plain=server, seconds=time.monotonic() - started)
                self._actor.tell(ended)
            match outcome:
                case Ok((status, headers, body)) if not self._may_try_again(
                    progress, status
                ):
                    self._outcomes.deliver(progress, reply, status, headers, body)
                    return
                case Ok(kept):
                    fallback, spends_budget = kept, True
                    continue
                case Err(failure):
                    pass
            if failure.kind == FailureKind.CALLER_LEFT:
                raise CallerGone
            if not self._goes_on(progress, failure):
                if fallback is not None:
                    self._outcomes.deliver(progress, reply, *fallback)
                else:
                    self._outcomes.fail(progress, reply, failure)
                return
            spends_budget = spends_budget or failure.kind != FailureKind.UNREACHABLE

    def _try_plain(self, progress, server, watch):
        result = self._calls.run(
            server.address,
            server.name,
            progress.req,
            watch,
            within_s=self._patience_s(progress),
        )
        match result:
            case Err(failure):
                self._outcomes.note_failure(progress, server.name, failure)
                if not failure.kind.has_not_run():
                    progress.ran = True
                    progress.runs += 1
                return result
            case Ok(answer):
                pass
        progress.ran = True
        progress.runs += 1
        read = read_whole(answer)
        match read:
            case Err(failure):
                self._outcomes.note_failure(progress, server.name, failure)
            case Ok((status, _, _)):
                self._actor.tell(m.ServerOutcome(server.name, failed=status >= 500))
        return read

    def _patience_s(self, progress) -> float | None:
        """Return how long an answer is awaited before another server is tried."""
        route = progress.route
        if not route.may_repeat() or progress.runs + 1 >= route.max_attempts:
            return None
        return PATIENCE_TARGETS * route.target_s

    def _may_try_again(self, progress, status: int) -> bool:
        """Tell whether a server's own failure may be put right by another server."""
        return (
            status in (500, 502, 503)
            and progress.route.may_repeat()
            and progress.runs < progress.route.max_attempts
            and progress.time_left() > 0
        )

    def _goes_on(self, progress, failure) -> bool:
        """Tell whether a failed request may be sent to another server."""
        if progress.sends >= MAX_SENDS or progress.time_left() <= 0:
            return False
        if failure.kind.has_not_run():
            return True
        return (
            progress.route.may_repeat() and progress.runs < progress.route.max_attempts
        )
