"""Test the rules of lending, standing shares and settlement."""

import random

import attrs
import pytest

from sesameport.bench.share_fleet import ShareFleet
from sesameport.bench.virtual_world import SimPlatform
from sesameport.fleet.buckets import LendingBucket
from sesameport.fleet.share_limits import (
    RateLimit,
    ShareSettings,
    workspaces_digest,
)
from sesameport.fleet.share_messages import (
    GrantedLot,
    LotAsk,
    LotGrant,
    LotWant,
    ShortWorkspace,
    StandingAsk,
    StandingGrant,
)
from sesameport.fleet.share_node import ShareNode
from sesameport.fleet.shares import ChargeAdmitted, HostShares, LotsNeeded, RateRefused
from sesameport.fleet.standing_records import MILLION, StandingRecords
from sesameport.fleet.standing_share import StandingShare
from sesameport.interfaces import Sender

CFG = ShareSettings(drift=0.02)
OWNER, OTHER = Sender("o", "o1", "a"), Sender("h", "h1", "a")
LIMITS = {"w": RateLimit(1000.0, 8000.0)}


def borrower(cfg=CFG):
    shares = HostShares("svc", "h", "h1", cfg, random.Random(1))
    shares.set_limits(LIMITS, 0.0)
    shares.set_peers(("o",), ())
    return shares


def standing_holder(cfg=CFG):
    shares = borrower(cfg)
    request = next(m for _, m in shares.tick(0.0) if isinstance(m, StandingAsk))
    grant = StandingGrant("svc", request.ask_id, "h1", 1, 1, MILLION, 7200.0)
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


def run_tick(node, platform, now, is_candidate=True):
    intent, out = node.tick(now, is_candidate)
    if intent is not None:
        out = [*out, *node.handle_result(intent, platform.run(intent), now)]
    return out


def test_lot_lifetime_starts_when_the_request_is_sent():
    shares = borrower()
    assert isinstance(shares.charge("w", 100.0, 0.0), LotsNeeded)
    [(_, request)] = shares.request_lots(0.0)
    lots = (GrantedLot("w", 1, 100.0, 8.0),)
    shares.handle_lot_grant(OWNER, LotGrant("svc", request.ask_id, "h1", lots), 5.0)
    assert isinstance(shares.charge("w", 60.0, 7.9), ChargeAdmitted)
    assert not isinstance(shares.charge("w", 10.0, 8.1), ChargeAdmitted)


def test_duplicate_and_foreign_grants_are_ignored():
    shares = borrower()
    shares.charge("w", 100.0, 0.0)
    [(_, request)] = shares.request_lots(0.0)
    lots = (GrantedLot("w", 1, 100.0, 8.0),)
    grant = LotGrant("svc", request.ask_id, "h1", lots)
    shares.handle_lot_grant(OWNER, attrs.evolve(grant, to_incarnation="h0"), 0.1)
    shares.handle_lot_grant(OWNER, grant, 0.1)
    shares.handle_lot_grant(OWNER, grant, 0.1)
    assert isinstance(shares.charge("w", 100.0, 0.2), ChargeAdmitted)
    assert not isinstance(shares.charge("w", 1.0, 0.2), ChargeAdmitted)


def test_retried_request_lends_once_and_lot_expires_with_the_lease():
    node, _, now = owning_node()
    now += 6.0
    request = LotAsk("svc", 7, (LotWant("w", 500.0),))
    [(_, first)] = node.receive(OTHER, request, now)
    [(_, second)] = node.receive(OTHER, request, now)
    assert first == second
    assert node.owner.pool_buckets["w"].lent_tokens == 500.0
    assert first.lots[0].lifetime_s == node.owner.lease.remaining_s(now) < 8.0
    [(_, late)] = node.receive(OTHER, attrs.evolve(request, ask_id=8), now + 9.0)
    assert not late.is_owner and not late.lots


def test_released_pool_refills_only_after_the_previous_lots_have_expired():
    node, platform, now = owning_node()
    now += 3.0
    node.receive(OTHER, LotAsk("svc", 1, (LotWant("w", 500.0),)), now)
    lifetime = node.owner.pool_buckets["w"].longest_lot_remaining_s(now)
    node.leave(now)
    run_tick(node, platform, now, is_candidate=False)
    other, _, start = owning_node("p", platform, now)
    assert start < now + 1.0
    bucket = other.owner.pool_buckets["w"]
    bucket.advance(now + lifetime)
    assert bucket.level == 0.0
    bucket.advance(now + lifetime + 2.0)
    assert bucket.level > 0.0


def test_late_standing_grant_does_not_restore_a_lowered_share():
    share = StandingShare("svc", "h1", CFG)
    ids = [share.tick(t, True, False).ask_id for t in (0.0, 1.0)]
    lower = StandingGrant("svc", ids[1], "h1", 1, 2, 100, 7200.0)
    assert share.adopt(lower, 1.5)
    older = attrs.evolve(lower, ask_id=ids[0], number=1, millionths=500)
    assert not share.adopt(older, 2.0)
    assert share.millionths == 100


def test_standing_share_is_granted_after_it_is_recorded():
    node, platform, now = owning_node()
    request = StandingAsk("svc", 1)
    assert node.receive(OTHER, request, now) == []
    sent = [m for target, m in run_tick(node, platform, now + 1.0) if target == "h"]
    stored = platform.objects["rate-share", "svc.r"].value.decode()
    assert "h1" in stored and sent[0].millionths > 0


def test_recorded_share_is_lowered_after_the_host_adopted_the_lower_one():
    """Guards against a share that is granted to a second host too early.

    The first host may still use its old share until it confirms the lower grant.
    """
    records = StandingRecords("svc", 7200.0, 0.02, rate_transfer_s=12.0)
    records.load("", 3, 0.0)
    records.handle_request("h", "h1", StandingAsk("svc", 1), 0.0)
    [(_, first)] = records.confirm_stored(records.encode_body(), 0.0)
    assert first.millionths == MILLION
    records.handle_request("k", "k1", StandingAsk("svc", 1), 1.0)
    lower = records.handle_request(
        "h", "h1", StandingAsk("svc", 2, 3, first.number), 2.0
    )
    assert lower.millionths == MILLION // 2
    for adopted in ((3, first.number), (2, lower.number)):
        records.handle_request("h", "h1", StandingAsk("svc", 3, *adopted), 3.0)
        assert records.shares()["h1"][1] == MILLION
    newest = records.handle_request("h", "h1", StandingAsk("svc", 4, 3, 1), 4.0)
    records.handle_request("h", "h1", StandingAsk("svc", 5, 3, newest.number), 5.0)
    assert records.shares()["h1"][1] == MILLION // 2


def test_request_that_arrives_after_the_return_records_nothing():
    records = StandingRecords("svc", 7200.0, 0.02, rate_transfer_s=12.0)
    records.load("", 1, 0.0)
    records.handle_request("h", "h1", StandingAsk("svc", 2, is_leaving=True), 0.0)
    assert records.handle_request("h", "h1", StandingAsk("svc", 1), 0.1) is None
    assert records.shares() == {}


def test_lower_share_is_reported_after_its_lots_have_expired():
    shares = standing_holder(attrs.evolve(CFG, standing_renewal_period_s=1.0))
    peer = Sender("p", "p1", "a")
    lot_request = LotAsk("svc", 1, (LotWant("w", 1500.0),), from_standing=True)
    assert shares.handle_lot_ask(peer, lot_request, 10.0).lots[0].tokens == 1500.0
    [(_, request)] = shares.tick(11.0)
    lower = StandingGrant("svc", request.ask_id, "h1", 1, 2, MILLION // 10, 7200.0)
    shares.handle_standing_grant(OWNER, lower, 11.0)
    [(_, early)] = shares.tick(12.0)
    assert early.adopted_number == 1
    [(_, late)] = shares.tick(30.0)
    assert late.adopted_number == 2


def test_standing_share_is_not_used_after_its_lease():
    """Guards against a host that spends after a pause, before its next tick."""
    shares = standing_holder()
    assert isinstance(shares.charge("w", 100.0, 7199.0, may_wait=False), ChargeAdmitted)
    assert not isinstance(
        shares.charge("w", 100.0, 7200.1, may_wait=False), ChargeAdmitted
    )


def test_refund_excludes_tokens_that_would_have_overflowed():
    bucket = LendingBucket(100.0, 1000.0, 0.0, 0.0)
    bucket.withdraw(400.0, 10.0)
    assert bucket.level == 600.0
    bucket.withdraw(100.0, 20.0)
    assert bucket.refund(300.0, 10.0, 20.5) == pytest.approx(0.0)
    bucket.withdraw(500.0, 21.0)
    assert bucket.refund(300.0, 21.0, 21.5) == pytest.approx(300.0)


def test_lot_occupies_capacity_until_it_expires_on_the_slowest_clock():
    bucket = LendingBucket(100.0, 1000.0, 0.0, CFG.drift)
    assert bucket.lend(1, 400.0, 8.0, 10.0) == 400.0
    longest = 8.0 * (1 + CFG.drift) / (1 - CFG.drift)
    bucket.advance(10.0 + longest)
    assert (bucket.lent_tokens, bucket.level) == (400.0, 600.0)
    bucket.return_lot(1, 0.0, 11.0 + longest)
    assert bucket.lent_tokens == 0.0 and bucket.level < 700.0


def test_transferred_rate_is_capped_when_the_source_share_falls():
    """Guards against a pool that earns a rate granted to another host."""
    bucket = LendingBucket(0.0, 1e9, 0.0, 0.0)
    bucket.set_transferred_rate("h1", 100.0, 50.0, 0.0)
    bucket.cap_transferred_rate("h1", 200.0, 10.0)
    bucket.cap_transferred_rate("h1", 40.0, 20.0)
    bucket.advance(30.0)
    assert bucket.level == pytest.approx(20 * 100.0 + 10 * 40.0)
    bucket.advance(90.0)
    assert bucket.level == pytest.approx(20 * 100.0 + 30 * 40.0)


def test_lots_of_a_removed_workspace_count_when_it_is_added_again():
    node, _, now = owning_node()
    now += 8.0 - 4.0
    pool = node.owner.pool_buckets["w"]
    node.receive(OTHER, LotAsk("svc", 1, (LotWant("w", 500.0),)), now)
    node.set_limits({}, now)
    node.set_limits(LIMITS, now)
    assert node.owner.pool_buckets["w"].lent_tokens == pool.lent_tokens > 0.0
    shares = standing_holder()
    request = LotAsk("svc", 1, (LotWant("w", 500.0),), from_standing=True)
    shares.handle_lot_ask(OTHER, request, 8.0)
    shares.set_limits({}, 8.0)
    shares.set_limits(LIMITS, 8.0)
    assert shares.workspaces["w"].standing_bucket.lent_tokens == 500.0


def test_excess_becomes_debt_that_the_next_charge_pays():
    shares = standing_holder()
    receipt = shares.charge("w", 1000.0, 8.0, may_wait=False).receipt
    assert shares.settle(receipt, 1600.0, 8.0) == 0.0
    assert not isinstance(
        shares.charge("w", 500.0, 8.0, may_wait=False), ChargeAdmitted
    )
    assert isinstance(shares.charge("w", 300.0, 8.0, may_wait=False), ChargeAdmitted)
    assert shares.workspaces["w"].debt == 0.0


def test_pool_is_used_before_the_standing_bucket():
    """Guards against an empty standing bucket when the owner becomes unreachable."""
    shares = standing_holder()
    assert isinstance(shares.charge("w", 100.0, 8.0), LotsNeeded)
    [(_, request)] = shares.request_lots(8.0)
    short = (ShortWorkspace("w", 1.0),)
    shares.handle_lot_grant(
        OWNER, LotGrant("svc", request.ask_id, "h1", short=short), 8.01
    )
    assert isinstance(shares.charge("w", 100.0, 8.01), ChargeAdmitted)


def test_request_above_the_burst_is_refused_without_retry():
    assert borrower().charge("w", 8001.0, 0.0) == RateRefused(None)


def fast_fleet(hosts=3):
    fleet = ShareFleet(LIMITS, CFG, hosts, 1, seed=3, clocks_drift=True)
    for host in fleet.hosts:
        host.clock.rate = 1 + CFG.drift
    return fleet


def test_fast_clocks_earn_no_more_than_the_rate():
    """Guards against buckets that a fast clock fills above the rate."""
    node, _, now = owning_node()
    pool = node.owner.pool_buckets["w"]
    start = pool.updated_at
    pool.advance(start + 5.0 * (1 + CFG.drift))
    assert pool.level <= 5.0 * 750.0 + 1e-6
    standing = standing_holder().workspaces["w"].standing_bucket
    standing.advance(5.0 * (1 + CFG.drift))
    assert standing.level <= 5.0 * 250.0 + 1e-6


def test_sustained_load_gets_most_of_the_rate_and_no_more():
    fleet = fast_fleet()
    for i in range(12_000):
        fleet.hosts[i % 3].charge("w", 50.0)
        fleet.queue.run_until(fleet.queue.now + 0.025)
    assert fleet.overdraft("w", 1000.0, 8000.0) <= 1e-3
    assert sum(entry.tokens for entry in fleet.withdrawals) > 0.9 * 300_000


def test_peers_lend_when_the_owner_is_unreachable():
    fleet = fast_fleet(4)
    fleet.queue.run_until(60.0)
    for host in fleet.hosts[:2]:
        for other in fleet.hosts:
            fleet.network.blocked_pairs |= {
                (host.name, other.name),
                (other.name, host.name),
            }
    answers = []
    for _ in range(24):
        fleet.hosts[3].charge("w", 700.0, 0.05, answers.append)
        fleet.queue.run_until(fleet.queue.now + 1.0)
    # Two full buckets of 500 tokens remain and refill at 125 tokens/s after the pause.
    assert sum(1 for receipt in answers[:3] if receipt is not None) == 1
    assert sum(1 for receipt in answers if receipt is not None) >= 2
    assert fleet.overdraft("w", 1000.0, 8000.0) <= 1e-3


def pool_gain(elapsed, **changes):
    """Return the tokens that the pool gains from one host's transferred rate."""
    node, platform, now = owning_node()
    node.receive(OTHER, StandingAsk("svc", 1), now)
    [grant] = [m for t, m in run_tick(node, platform, now + 1.0) if t == "h"]
    request = StandingAsk(
        "svc", 2, 1, grant.number, idle_epoch=1, idle_number=grant.number,
        workspaces_digest=workspaces_digest(LIMITS),
    )  # fmt: skip
    node.receive(OTHER, attrs.evolve(request, **changes), now + 3.0)
    pool = node.owner.pool_buckets["w"]
    pool.withdraw(8000.0, now + 3.0)
    pool.capacity = 1e9
    pool.advance(now + 3.0 + elapsed)
    return pool.level - elapsed * pool.rate_per_s


def test_pool_earns_a_transferred_rate_until_the_grant_is_too_old():
    """Guards against two hosts that earn the same rate at the same time."""
    share = 250.0 / (1 + CFG.drift)
    assert pool_gain(5.0) == pytest.approx(5.0 * share)
    assert pool_gain(30.0) == pytest.approx((CFG.rate_transfer_s - 2.0) * share)


@pytest.mark.parametrize(
    "changes",
    [
        {"busy": ("w",)},
        {"idle_number": 99},
        {"idle_epoch": 9},
        {"workspaces_digest": 1},
        {"is_leaving": True},
    ],
    ids=lambda changes: next(iter(changes)),
)
def test_pool_earns_no_rate_that_is_not_transferred(changes):
    assert pool_gain(5.0, **changes) == pytest.approx(0.0)


def test_host_pauses_for_longer_than_the_pool_earns_its_rate():
    shares = standing_holder(attrs.evolve(CFG, standing_renewal_period_s=1.0))
    grant = StandingGrant("svc", 1, "h1", 1, 2, MILLION, 7200.0, CFG.rate_transfer_s)
    [(_, first)] = shares.tick(20.0)
    shares.handle_standing_grant(OWNER, attrs.evolve(grant, ask_id=first.ask_id), 20.0)
    [(_, request)] = shares.tick(22.0)
    assert (request.idle_epoch, request.idle_number, request.busy) == (1, 2, ())
    longest = CFG.rate_transfer_s * (1 + CFG.drift) / (1 - CFG.drift)
    standing = shares.workspaces["w"].standing_bucket
    standing.withdraw(1000.0, 22.0)
    standing.advance(22.0 + longest)
    assert standing.level == pytest.approx(1000.0)
    shares.tick(22.0 + longest)
    standing.advance(22.0 + longest + 1.1)
    assert standing.level > 1100.0


def test_leaving_host_returns_its_standing_share():
    fleet = fast_fleet()
    fleet.queue.run_until(60.0)
    leaving = fleet.hosts[2]
    assert leaving.node.shares.standing.millionths > 300_000
    leaving.node.leave(leaving.now)
    fleet.queue.run_until(130.0)
    shares = [host.node.shares.standing.millionths for host in fleet.hosts]
    assert leaving.node.shares.standing.has_left
    assert shares == [500_000, 500_000, 0]


def test_leaving_owner_returns_its_own_standing_share():
    """Guards against returning the share to an owner that has just stepped down."""
    fleet = fast_fleet()
    fleet.queue.run_until(60.0)
    owner = next(h for h in fleet.hosts if h.node.owner.is_owner(h.now))
    assert owner.node.shares.standing.millionths > 300_000
    owner.node.leave(owner.now)
    assert owner.node.shares.standing.has_left
    fleet.queue.run_until(130.0)
    shares = [h.node.shares.standing.millionths for h in fleet.hosts if h is not owner]
    assert shares == [500_000, 500_000]
