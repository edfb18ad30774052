"""Test that no lease of decode memory is requested from engines with a limit.

Guards against calls for leases that use up the rate of a cold or limited engine.
"""

import random
import time

import pytest

from sesameport.admission import (
    ColdBounds,
    ColdServers,
    Evacuations,
    FleetUse,
    LeasePolicy,
    Placement,
    RequestLimits,
    ServerNotices,
)
from sesameport.domain import ServerRole
from sesameport.entry.configuration import EngineProfile, EntryService
from sesameport.entry.memory_leases import LeasePlanner
from sesameport.entry.permit_exchange import PermitExchange
from sesameport.entry.requests import FailureKind, MemoryLease
from sesameport.entry.server_calls import NoticedServerClient
from sesameport.entry.server_notices import ServerNotice
from sesameport.entry.servers import EntryServer
from sesameport.entry.tests.test_evacuations import Calls, Metrics

PREFILL = EntryServer("p1", "llm", "", "a", ServerRole.PREFILL, slots=8)
DECODE = EntryServer("d1", "llm", "", "a", ServerRole.DECODE, slots=8)
ENGINE = EngineProfile(slots=16, kv_tokens=28_000, max_lease_s=5.0)
POLICY = LeasePolicy(min_reserved_share=0.0)


def make_limits(limit):
    cold = ColdServers(ColdBounds(1.5, 5.0))
    cold.configure([EntryService("llm", None, 600.0, 2.0)])
    cold.track("d1", "llm", 1)
    limits = RequestLimits(ServerNotices(), cold)
    if limit == "cold":
        cold.assume_started("d1", time.monotonic())
    if limit == "stated":
        limits.notices.record("d1", 1, ServerNotice(2.0), time.monotonic())
    return limits


@pytest.mark.parametrize(
    "limit, is_leased", [("", True), ("cold", False), ("stated", False)]
)
def test_no_lease_is_planned_or_requested_under_a_limit(limit, is_leased):
    limits, now = make_limits(limit), time.monotonic()
    assert (limits.limit_of("d1", now) is None) == is_leased
    use, calls = FleetUse(), Calls()
    permits = PermitExchange(
        "h", limits, use, lambda sent: None, lambda at: None, random.Random(1)
    )
    placement = Placement(DECODE, PREFILL, 4_000, 3_000, expected_prefill_s=0.3)
    planned = LeasePlanner(use, permits, POLICY).plan(placement, ENGINE, now)
    assert (planned.lease_tokens > 0) == is_leased
    # The engine may have got its limit after the placement.
    client = NoticedServerClient(
        limits, lambda message: None, Metrics(), Evacuations()
    ).wrap(calls)
    result = client.lease_memory("", "d1", 3_000, 1.0)
    client.release_memory(MemoryLease("", "d1", "1"))
    if is_leased:
        assert calls.sent == ["lease_memory", "release_memory"]
    else:
        assert calls.sent == []
        assert result.unwrap_err().kind == FailureKind.NOT_SENT
