"""Check the hold keeper with small fakes."""

from result import Err, Ok

from sesameport.daemon.fleet.hold_keeper import HoldKeeperActor, KeeperTick, SweepTick
from sesameport.daemon.views.fleet_view import FleetView, MemberView
from sesameport.daemon.views.sweep_view import is_owner_gone, members_for_sweep
from sesameport.fleet import EndedIncarnation, MemberState
from sesameport.interfaces import EngineError, EngineErrorKind, Hold, HoldKind
from sesameport.requests import CancelHold, HoldOwner, OpenHold


class FakeEngine:
    def __init__(self, holds=()):
        self.listed, self.cancelled, self.fails = holds, [], 0

    def holds(self):
        return Ok(tuple(self.listed))

    def cancel(self, attempt_id):
        self.cancelled.append(attempt_id)
        if self.fails:
            self.fails -= 1
            return Err(EngineError(EngineErrorKind.SILENT))
        return Ok(True)


class DirectWorkers:
    """Call the engine at once, on the thread of the keeper."""

    def __init__(self, engine):
        self.engine = engine
        self.keeper = None

    def cancel(self, item):
        confirmed = self.engine.cancel(item.attempt_id).is_ok()
        self.keeper.take_cancelled(item, confirmed)

    def list(self, server):
        self.keeper.take_list(server, self.engine.holds().unwrap())


class Keeper(HoldKeeperActor):
    """Deliver the outcomes of workers in the order of their calls."""

    def take_cancelled(self, item, confirmed):
        self._registry.handle_result(
            item.server, item.attempt_id, confirmed, self._clock()
        )

    def take_list(self, server, holds):
        self._listing.discard(server)
        self._choose(server, holds, self._clock())


def build(engine, members=dict, gone=None, servers=("d1",)):
    now = [0.0]
    workers = DirectWorkers(engine)
    listed = list(servers)
    keeper = Keeper(
        HoldOwner("h1", "i1"),
        workers,
        lambda: (listed, listed),
        members,
        lambda: ["h1"],
        lambda: now[0],
        note_server_gone=(gone if gone is not None else []).append,
    )
    workers.keeper = keeper
    return keeper, now, listed


def hold(attempt_id):
    return Hold(attempt_id, HoldKind.DECODE_SLOT, 60.0, 60.0)


def test_holds_of_a_dead_host_are_swept_and_others_kept():
    """Guard against engine memory that a dead host leaves behind (I1)."""
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
    keeper, _, _ = build(engine, lambda: members_for_sweep(view))
    keeper.on_receive(SweepTick())
    assert engine.cancelled == ["h2.old.1.1", "h4.i4.1.1"]
    gone = [owner for owner in owners if is_owner_gone(view, owner)]
    assert gone == ["h2.old", "h4.i4"]


def test_failed_cancel_is_sent_again_by_the_tick():
    """Guard against a cancel that is given up after a failure."""
    engine = FakeEngine()
    engine.fails = 3
    keeper, now, _ = build(engine)
    keeper.on_receive(OpenHold("d1", "h1.i1.1.1"))
    keeper.on_receive(CancelHold("d1", "h1.i1.1.1"))
    for _ in range(100):
        now[0] += 1.0
        keeper.on_receive(KeeperTick())
    assert engine.cancelled == ["h1.i1.1.1"] * 4
    assert keeper._registry.cancel_count() == 0


def test_short_absence_of_a_server_drops_no_hold():
    """Guard against holds that are forgotten after an incomplete list."""
    engine, gone = FakeEngine(), []
    keeper, now, listed = build(engine, gone=gone)
    keeper.on_receive(OpenHold("d1", "h1.i1.1.1"))
    for absent_s, expected in ((5.0, []), (30.0, ["d1"])):
        listed.clear()
        keeper.on_receive(KeeperTick())
        now[0] += absent_s
        keeper.on_receive(KeeperTick())
        assert gone == expected
        listed.append("d1")
        keeper.on_receive(KeeperTick())
