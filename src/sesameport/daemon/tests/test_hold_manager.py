"""Test the hold manager with a fake engine and synchronous workers."""

import queue

from result import Err, Ok

from sesameport.daemon.fleet.hold_manager import (
    HoldManagerActor,
    HoldTick,
    HoldWorkers,
    SweepTick,
)
from sesameport.daemon.views.fleet_view import FleetView, MemberView
from sesameport.daemon.views.sweep_view import build_host_memberships, has_owner_ended
from sesameport.fleet import EndedIncarnation, MemberState
from sesameport.interfaces import EngineError, EngineErrorKind, Hold, HoldKind
from sesameport.requests import CancelHold, HoldOwner, OpenHold


class FakeEngine:
    """Hold a fixed list of holds and fail the first ``failures_left`` cancels."""

    def __init__(self, holds=()):
        self.listed_holds, self.cancelled, self.failures_left = holds, [], 0

    def holds(self):
        return Ok(tuple(self.listed_holds))

    def cancel(self, attempt_id):
        self.cancelled.append(attempt_id)
        if self.failures_left:
            self.failures_left -= 1
            return Err(EngineError(EngineErrorKind.SILENT))
        return Ok(True)


class DirectWorkers:
    """Call the engine synchronously on the manager's thread."""

    def __init__(self, engine):
        self.engine = engine
        self.manager = None

    def cancel(self, cancel_hold):
        confirmed = self.engine.cancel(cancel_hold.attempt_id).is_ok()
        self.manager.handle_cancel_result(cancel_hold, confirmed)

    def list_holds(self, server):
        self.manager.handle_list_result(server, self.engine.holds().unwrap())


class SynchronousHoldManager(HoldManagerActor):
    """Handle each result of the workers during the call that caused it."""

    def handle_cancel_result(self, cancel_hold, confirmed):
        self._registry.handle_result(
            cancel_hold.server, cancel_hold.attempt_id, confirmed, self._clock()
        )

    def handle_list_result(self, server, holds):
        self._pending_lists.discard(server)
        self._cancel_abandoned(server, holds, self._clock())


def build_manager(engine, members=dict, removed=None, servers=("d1",)):
    now = [0.0]
    workers = DirectWorkers(engine)
    listed_servers = list(servers)
    manager = SynchronousHoldManager(
        HoldOwner("h1", "i1"),
        workers,
        lambda: (listed_servers, listed_servers),
        members,
        lambda: ["h1"],
        lambda: now[0],
        report_removed_server=(removed if removed is not None else []).append,
    )
    workers.manager = manager
    return manager, now, listed_servers


def hold(attempt_id):
    return Hold(attempt_id, HoldKind.DECODE_SLOT, 60.0, 60.0)


def test_holds_of_ended_incarnations_are_cancelled_and_others_kept():
    """Guard against engine memory that stays held after its host has ended (I1)."""
    view = FleetView(
        members=(
            MemberView("h2", "a", "new", MemberState.ALIVE, False),
            MemberView("h3", "a", "i3", MemberState.SUSPECT, False),
        ),
        ended_incarnations=(
            EndedIncarnation("h2", "old", 0.0, "replaced"),
            EndedIncarnation("h4", "i4", 0.0, "unlisted"),
        ),
    )
    owners = ("h2.old", "h2.new", "h3.i3", "h4.i4", "h5.i5")
    engine = FakeEngine([hold(f"{owner}.1.1") for owner in owners])
    manager, _, _ = build_manager(engine, lambda: build_host_memberships(view))
    manager.on_receive(SweepTick())
    assert engine.cancelled == ["h2.old.1.1", "h4.i4.1.1"]
    ended_owners = [owner for owner in owners if has_owner_ended(view, owner)]
    assert ended_owners == ["h2.old", "h4.i4"]


def test_failed_cancel_is_retried_by_the_tick():
    """Guard against a cancel that is not retried after a failure."""
    engine = FakeEngine()
    engine.failures_left = 3
    manager, now, _ = build_manager(engine)
    manager.on_receive(OpenHold("d1", "h1.i1.1.1"))
    manager.on_receive(CancelHold("d1", "h1.i1.1.1"))
    for _ in range(100):
        now[0] += 1.0
        manager.on_receive(HoldTick())
    assert engine.cancelled == ["h1.i1.1.1"] * 4
    assert manager._registry.cancel_count() == 0


def test_short_absence_of_a_server_removes_no_hold():
    """Guard against holds that are removed because one server list was incomplete."""
    engine, removed = FakeEngine(), []
    manager, now, listed_servers = build_manager(engine, removed=removed)
    manager.on_receive(OpenHold("d1", "h1.i1.1.1"))
    for absent_s, expected in ((5.0, []), (30.0, ["d1"])):
        listed_servers.clear()
        manager.on_receive(HoldTick())
        now[0] += absent_s
        manager.on_receive(HoldTick())
        assert removed == expected
        listed_servers.append("d1")
        manager.on_receive(HoldTick())


class RaisingEngine(FakeEngine):
    def cancel(self, attempt_id):
        super().cancel(attempt_id)
        raise KeyError("held")

    def holds(self):
        raise TypeError("holds")


def test_workers_outlive_answers_that_raise():
    # Each such answer ended a thread. After a few of them no hold was cancelled or
    # listed any more.
    engine, results = RaisingEngine(), queue.SimpleQueue()
    workers = HoldWorkers(lambda server: engine, cancel_threads=1, list_threads=1)
    workers.start(results.put)
    for _ in range(3):
        workers.cancel(CancelHold("d1", "a"))
        workers.list_holds("d1")
    got = [results.get(timeout=5.0) for _ in range(6)]
    assert len(engine.cancelled) == 3
    assert [item.confirmed for item in got if hasattr(item, "confirmed")] == [False] * 3
    assert [item.holds for item in got if hasattr(item, "holds")] == [()] * 3
    workers.stop()
