"""Check single rules of lending, standing shares and settlement."""

import random

import attrs
import pytest

from sesameport.bench.share_fleet import ShareFleet
from sesameport.bench.virtual_world import SimPlatform
from sesameport.fleet.buckets import Lender
from sesameport.fleet.share_limits import (
    Limit,
    ShareSettings,
    check_region_bursts,
    check_region_change,
    region_limits,
)
from sesameport.fleet.share_messages import (
    GrantedLot,
    LotAsk,
    LotGrant,
    LotWant,
    StandingAsk,
    StandingGrant,
)
from sesameport.fleet.share_node import ShareNode
from sesameport.fleet.shares import Admitted, HostShares, LotsNeeded, RateRefused
from sesameport.fleet.standing_records import MILLION, StandingRecords
from sesameport.fleet.standing_share import StandingShare
from sesameport.interfaces import Sender
from sesameport.world import Model, RegionShare, ServiceDocument, Workspace

CFG = ShareSettings(drift=0.02)
OWNER, OTHER = Sender("o", "o1", "a"), Sender("h", "h1", "a")
LIMITS = {"w": Limit(1000.0, 8000.0)}


def borrower(cfg=CFG):
    shares = HostShares("svc", "h", "h1", cfg, random.Random(1))
    shares.set_limits(LIMITS, 0.0)
    shares.set_peers(("o",), ())
    return shares


def standing_holder(cfg=CFG):
    shares = borrower(cfg)
    ask = next(m for _, m in shares.tick(0.0) if isinstance(m, StandingAsk))
    grant = StandingGrant("svc", ask.ask_id, "h1", 1, 1, MILLION, 7200.0)
    shares.handle_standing_grant(OWNER, grant, 0.0)
    return shares


def owning_node(host="o", platform=None, now=0.0):
    sender = Sender(host, f"{host}1", "a")
    node = ShareNode("svc", "r", sender, CFG, random.Random(2))
    node.set_limits(LIMITS, now)
    platform = platform or SimPlatform()
    for i in range(40):
        run_tick(node, platform, now + i / 2)
        if node.owner.is_owner(now + i / 2):
            return node, platform, now + i / 2
    raise AssertionError("the pool was not acquired")


def run_tick(node, platform, now, wanted=True):
    intent, out = node.tick(now, wanted)
    if intent is not None:
        out = [*out, *node.answered(intent, platform.run(intent), now)]
    return out


def test_lot_expires_from_before_the_ask():
    shares = borrower()
    assert isinstance(shares.charge("w", 100.0, 0.0), LotsNeeded)
    [(_, ask)] = shares.flush(0.0)
    lots = (GrantedLot("w", 1, 100.0, 8.0),)
    shares.handle_grant(OWNER, LotGrant("svc", ask.ask_id, "h1", lots), 5.0)
    assert isinstance(shares.charge("w", 60.0, 7.9), Admitted)
    assert not isinstance(shares.charge("w", 10.0, 8.1), Admitted)


def test_repeated_foreign_and_late_grants_are_ignored():
    shares = borrower()
    shares.charge("w", 100.0, 0.0)
    [(_, ask)] = shares.flush(0.0)
    lots = (GrantedLot("w", 1, 100.0, 8.0),)
    grant = LotGrant("svc", ask.ask_id, "h1", lots)
    shares.handle_grant(OWNER, attrs.evolve(grant, to_incarnation="h0"), 0.1)
    shares.handle_grant(OWNER, grant, 0.1)
    shares.handle_grant(OWNER, grant, 0.1)
    assert isinstance(shares.charge("w", 100.0, 0.2), Admitted)
    assert not isinstance(shares.charge("w", 1.0, 0.2), Admitted)


def test_repeated_ask_lends_once_and_lot_ends_with_the_hold():
    node, _, now = owning_node()
    now += 6.0
    ask = LotAsk("svc", 7, (LotWant("w", 500.0),))
    [(_, first)] = node.receive(OTHER, ask, now)
    [(_, second)] = node.receive(OTHER, ask, now)
    assert first == second
    assert node.owner.lenders["w"].lent == 500.0
    assert first.lots[0].lifetime_s == node.owner.lease.remaining_s(now) < 8.0
    [(_, late)] = node.receive(OTHER, attrs.evolve(ask, ask_id=8), now + 9.0)
    assert not late.is_owner and not late.lots


def test_released_pool_refills_only_after_lots_of_the_last_owner():
    node, platform, now = owning_node()
    now += 3.0
    node.receive(OTHER, LotAsk("svc", 1, (LotWant("w", 500.0),)), now)
    lifetime = node.owner.lenders["w"].longest_lot_s(now)
    node.leave(now)
    run_tick(node, platform, now, wanted=False)
    other, _, start = owning_node("p", platform, now)
    assert start < now + 1.0
    lender = other.owner.lenders["w"]
    lender.advance(now + lifetime)
    assert lender.level == 0.0
    lender.advance(now + lifetime + 2.0)
    assert lender.level > 0.0


def test_late_standing_grant_does_not_bring_back_a_lowered_share():
    share = StandingShare("svc", "h1", CFG)
    ids = [share.tick(t, True, False).ask_id for t in (0.0, 1.0)]
    lower = StandingGrant("svc", ids[1], "h1", 1, 2, 100, 7200.0)
    assert share.adopt(lower, 1.5)
    older = attrs.evolve(lower, ask_id=ids[0], number=1, millionths=500)
    assert not share.adopt(older, 2.0)
    assert share.millionths == 100


def test_standing_share_is_granted_after_it_is_recorded():
    node, platform, now = owning_node()
    ask = StandingAsk("svc", 1)
    assert node.receive(OTHER, ask, now) == []
    sent = [m for target, m in run_tick(node, platform, now + 1.0) if target == "h"]
    stored = platform.objects["rate-share", "svc.r"].value.decode()
    assert "h1" in stored and sent[0].millionths > 0


def test_recorded_share_is_lowered_after_the_host_adopted_the_lower_one():
    """Guards against a share that is given to a second host too early."""
    records = StandingRecords("svc", 7200.0, 0.02)
    records.start("", 3, 0.0)
    records.handle("h", "h1", StandingAsk("svc", 1), 0.0)
    [(_, first)] = records.confirm(records.body())
    assert first.millionths == MILLION
    records.handle("k", "k1", StandingAsk("svc", 1), 1.0)
    lower = records.handle("h", "h1", StandingAsk("svc", 2, 3, first.number), 2.0)
    assert lower.millionths == MILLION // 2
    for adopted in ((3, first.number), (2, lower.number)):
        records.handle("h", "h1", StandingAsk("svc", 3, *adopted), 3.0)
        assert records.shares()["h1"][1] == MILLION
    newest = records.handle("h", "h1", StandingAsk("svc", 4, 3, 1), 4.0)
    records.handle("h", "h1", StandingAsk("svc", 5, 3, newest.number), 5.0)
    assert records.shares()["h1"][1] == MILLION // 2


def test_ask_that_arrives_after_the_return_records_nothing():
    records = StandingRecords("svc", 7200.0, 0.02)
    records.start("", 1, 0.0)
    records.handle("h", "h1", StandingAsk("svc", 2, is_leaving=True), 0.0)
    assert records.handle("h", "h1", StandingAsk("svc", 1), 0.1) is None
    assert records.shares() == {}


def test_lower_share_is_reported_after_lent_lots_came_back():
    shares = standing_holder(attrs.evolve(CFG, standing_ask_s=1.0))
    peer = Sender("p", "p1", "a")
    lot_ask = LotAsk("svc", 1, (LotWant("w", 1500.0),), from_standing=True)
    assert shares.handle_lot_ask(peer, lot_ask, 10.0).lots[0].tokens == 1500.0
    [(_, ask)] = shares.tick(11.0)
    lower = StandingGrant("svc", ask.ask_id, "h1", 1, 2, MILLION // 10, 7200.0)
    shares.handle_standing_grant(OWNER, lower, 11.0)
    [(_, early)] = shares.tick(12.0)
    assert early.adopted_number == 1
    [(_, late)] = shares.tick(30.0)
    assert late.adopted_number == 2


def test_standing_share_is_not_used_after_its_lease():
    """Guards against a paused host that spends before its next tick."""
    shares = standing_holder()
    assert isinstance(shares.charge("w", 100.0, 7199.0), Admitted)
    assert not isinstance(shares.charge("w", 100.0, 7200.1), Admitted)


def test_refund_does_not_pass_through_a_full_bucket():
    lender = Lender(100.0, 1000.0, 0.0, 0.0)
    lender.take(400.0, 10.0)
    assert lender.level == 600.0
    lender.take(100.0, 20.0)
    assert lender.refund(300.0, 10.0, 20.5) == pytest.approx(0.0)
    lender.take(500.0, 21.0)
    assert lender.refund(300.0, 21.0, 21.5) == pytest.approx(300.0)


def test_excess_becomes_debt_that_the_next_charge_pays():
    shares = standing_holder()
    receipt = shares.charge("w", 1000.0, 8.0).receipt
    assert shares.settle(receipt, 1600.0, 8.0) == 0.0
    assert not isinstance(shares.charge("w", 500.0, 8.0), Admitted)
    assert isinstance(shares.charge("w", 300.0, 8.0), Admitted)
    assert shares.workspaces["w"].debt == 0.0


def test_request_above_the_burst_is_refused_for_good():
    assert borrower().charge("w", 8001.0, 0.0) == RateRefused(None)


def fast_fleet(hosts=3):
    fleet = ShareFleet(LIMITS, CFG, hosts, 1, seed=3, clocks_drift=True)
    for host in fleet.hosts:
        host.clock.rate = 1 + CFG.drift
    return fleet


def test_fast_clocks_earn_no_more_than_the_rate():
    """Guards against buckets that a fast clock fills above the rate."""
    node, _, now = owning_node()
    pool = node.owner.lenders["w"]
    start = pool.updated_at
    pool.advance(start + 5.0 * (1 + CFG.drift))
    assert pool.level <= 5.0 * 750.0 + 1e-6
    standing = standing_holder().workspaces["w"].standing
    standing.advance(5.0 * (1 + CFG.drift))
    assert standing.level <= 5.0 * 250.0 + 1e-6


def test_sustained_load_gets_most_of_the_rate_and_no_more():
    fleet = fast_fleet()
    for i in range(12_000):
        fleet.hosts[i % 3].charge("w", 50.0)
        fleet.queue.run_until(fleet.queue.now + 0.025)
    assert fleet.overdraft("w", 1000.0, 8000.0) <= 1e-3
    assert sum(entry.tokens for entry in fleet.withdrawals) > 0.9 * 300_000


def test_peers_lend_when_the_owner_is_cut_off():
    fleet = fast_fleet(4)
    fleet.queue.run_until(60.0)
    for host in fleet.hosts[:2]:
        for other in fleet.hosts:
            fleet.network.cut |= {(host.name, other.name), (other.name, host.name)}
    answers = []
    for _ in range(8):
        fleet.hosts[3].charge("w", 700.0, 0.05, answers.append)
        fleet.queue.run_until(fleet.queue.now + 1.0)
    assert sum(1 for receipt in answers if receipt is not None) >= 2
    assert fleet.overdraft("w", 1000.0, 8000.0) <= 1e-3


def test_leaving_host_gives_back_its_standing_share():
    fleet = fast_fleet()
    fleet.queue.run_until(60.0)
    leaving = fleet.hosts[2]
    assert leaving.node.shares.standing.millionths > 300_000
    leaving.node.leave(leaving.now)
    fleet.queue.run_until(130.0)
    shares = [host.node.shares.standing.millionths for host in fleet.hosts]
    assert leaving.node.shares.standing.has_left
    assert shares == [500_000, 500_000, 0]


def document(*shares, burst=8000.0):
    return ServiceDocument(
        "svc",
        models=(Model("m", max_prompt_tokens=3000, max_output_tokens=1000),),
        workspaces=(Workspace("w", (), 1000.0, burst),),
        regions=tuple(RegionShare(name, share) for name, share in shares),
    )


def test_region_share_moves_in_two_steps():
    old = document(("n", 0.5), ("s", 0.5))
    lowered = document(("n", 0.3), ("s", 0.5))
    moved = document(("n", 0.3), ("s", 0.7))
    assert [f.path for f in check_region_change(old, moved, "d")] == [
        "regions[1].share"
    ]
    assert check_region_change(old, lowered, "d") == []
    assert check_region_change(lowered, moved, "d") == []
    assert check_region_change(old, document(), "d")[0].path == "regions"


def test_region_limits_and_small_pools():
    doc = document(("n", 0.75), ("s", 0.25))
    assert region_limits(doc, "s", 2) == {"w": Limit(250.0, 2000.0)}
    assert region_limits(document(), "s", 2) == {"w": Limit(500.0, 4000.0)}
    assert check_region_bursts(doc, 0.25, "d")[0].path == "workspaces[0].burst_tokens"
    assert check_region_bursts(document(("n", 1.0)), 0.25, "d") == []
