"""Test placement with full decode memory and concurrent hosts."""

import itertools

import attrs
import pytest

from sesameport.admission import (
    FleetUse,
    PlacementPolicy,
    ServerUse,
    choose_plain_server,
    place_generation,
)
from sesameport.admission.request_size import expected_output_tokens, reserved_kv_tokens
from sesameport.admission.tests.builders import PROFILE, generation, server
from sesameport.domain import ServerRole

PREFILL = ServerRole.PREFILL


def choose(
    req,
    servers,
    use,
    factor=lambda name: 1.0,
    speeds=None,
    mean_reservation_s=float("inf"),
):
    return place_generation(
        req,
        PROFILE,
        servers,
        use,
        factor,
        PlacementPolicy(),
        speeds or {},
        mean_reservation_s,
    ).ok()


def test_nine_hosts_never_overcommit_decode_memory():
    # Overcommitted memory leads to preempted streams. Each host must subtract the
    # reservations of all hosts before it reserves memory.
    servers = [server("d1"), server("d2"), server("p1", PREFILL)]
    hosts = [FleetUse() for _ in range(9)]
    placed = 0
    for number, use in zip(range(60), itertools.cycle(hosts), strict=False):
        placement = choose(generation(), servers, use)
        if placement is None:
            continue
        placed += 1
        use.add_local(placement.decode.name, placement.decode_use())
        for other in hosts:
            if other is not use:
                other.apply_report(f"h{number % 9}", use.local, 0.0)
    reserved = [
        sum(use.local.get(name, ServerUse()).kv_tokens for use in hosts)
        for name in ("d1", "d2")
    ]
    assert all(amount <= PROFILE.kv_tokens for amount in reserved)
    assert placed == 2 * (PROFILE.kv_tokens // reserved_kv_tokens(3_000, 700))


def place_all(servers, use, requests, mean_reservation_s):
    """Place requests until none fits and return the number of placed requests."""
    for number in range(requests):
        placement = choose(
            generation(), servers, use, mean_reservation_s=mean_reservation_s
        )
        if placement is None:
            return number
        for name, change in placement.uses():
            use.add_local(name, change)
    return requests


def test_memory_freed_during_a_prefill_is_reserved_in_advance():
    # Reserved memory is unused while prompts wait for prefill. In a burst on full
    # memory, a tenth of the reservations would be wasted.
    servers = [server("d1"), server("p1", PREFILL)]
    use = FleetUse()
    use.add_local("d1", ServerUse(35_000, 9, 0))
    use.add_local("p1", ServerUse(0, 0, 9_000))
    assert choose(generation(), servers, use) is None
    assert place_all(servers, use, 5, mean_reservation_s=3.4) == 1
    # The memory expected to be freed is reserved only once.
    expected_freed = 35_000 * 0.45 / 3.4
    assert use.total_for("d1").kv_tokens <= PROFILE.kv_tokens + expected_freed


def test_reservations_pending_prefill_are_not_expected_to_free_memory():
    # Otherwise several requests would reserve the memory that the same streams free.
    servers = [server("d1"), server("p1", PREFILL)]
    use = FleetUse()
    use.add_local("d1", ServerUse(35_000, 9, 0, pending_kv_tokens=35_000))
    use.add_local("p1", ServerUse(0, 0, 9_000))
    assert choose(generation(), servers, use, mean_reservation_s=3.4) is None


def test_prefilled_request_uses_only_free_memory():
    # The request occupies its memory at once. If that memory is not free yet, the
    # engine preempts running streams.
    servers = [server("d1"), server("p1", PREFILL)]
    use = FleetUse()
    use.add_local("d1", ServerUse(35_000, 9, 0))
    use.add_local("p1", ServerUse(0, 0, 9_000))
    prefilled = attrs.evolve(generation(), is_prefilled=True)
    assert choose(prefilled, servers, use, mean_reservation_s=3.4) is None


def test_requests_are_spread_over_decode_servers():
    servers = [server("d1"), server("d2"), server("p1", PREFILL)]
    use = FleetUse()
    names = []
    for _ in range(4):
        placement = choose(generation(), servers, use)
        use.add_local(placement.decode.name, placement.decode_use())
        names.append(placement.decode.name)
    assert sorted(names) == ["d1", "d1", "d2", "d2"]


def test_local_data_centre_is_preferred_only_among_nearly_equal_servers():
    servers = [server("near", centre="a"), server("far", centre="b")]
    use = FleetUse()
    assert choose(generation(), servers, use).decode.name == "near"
    use.add_local("near", ServerUse(8_000, 2, 0))
    assert choose(generation(), servers, use).decode.name == "far"


def test_server_without_a_free_slot_is_not_chosen():
    use = FleetUse()
    use.add_local("d1", ServerUse(100, 24, 0))
    assert choose(generation(), [server("d1")], use) is None


def test_decode_server_runs_the_prefill_if_all_prefill_servers_are_excluded():
    servers = [server("d1"), server("p1", PREFILL)]
    placement = choose(generation(excluded=["p1"]), servers, FleetUse())
    assert placement.prefill is None


def test_server_with_a_higher_cost_factor_is_avoided():
    servers = [server("d1"), server("d2"), server("p1", PREFILL)]
    placement = choose(
        generation(), servers, FleetUse(), lambda name: 4.0 if name == "d1" else 1.0
    )
    assert placement.decode.name == "d2"


def test_prefill_goes_to_the_shorter_queue():
    servers = [server("d1"), server("p1", PREFILL), server("p2", PREFILL)]
    use = FleetUse()
    use.add_local("p1", ServerUse(0, 0, 6_000))
    assert choose(generation(), servers, use).prefill.name == "p2"


def test_expected_output_is_between_the_estimate_and_the_typical_length():
    assert expected_output_tokens(1_870, None) == 748
    assert 146 < expected_output_tokens(1_870, 146) < 748
    assert 748 < expected_output_tokens(1_870, 2_411) <= 1_870


def test_plain_request_goes_to_the_least_loaded_server():
    plain = [
        server("s1", ServerRole.PLAIN, slots=6),
        server("s2", ServerRole.PLAIN, slots=6),
    ]
    use = FleetUse()
    use.add_local("s1", ServerUse(0, 2, 0))
    factor = {}.get
    chosen = choose_plain_server("a", plain, use, lambda name: factor(name, 1.0))
    assert chosen.name == "s2"
    excluded = choose_plain_server("a", plain, use, lambda name: 1.0, frozenset({"s2"}))
    assert excluded.name == "s1"


def test_no_local_prefill_while_decode_memory_is_scarce():
    servers = [server("d1"), server("p1", PREFILL)]
    use = FleetUse()
    use.add_local("p1", ServerUse(0, 0, 30_000))
    use.add_local("d1", ServerUse(28_000, 7, 0))
    assert choose(generation(), servers, use) is None


def test_local_prefill_while_prefill_servers_are_busy_and_memory_is_free():
    # This occurs when one of two prefill engines crashes in a burst while the decode
    # engines are half empty.
    servers = [server("d1"), server("d2"), server("p1", PREFILL)]
    use = FleetUse()
    use.add_local("p1", ServerUse(0, 0, 30_000))
    assert choose(generation(), servers, use).prefill is None
    for name in ("d1", "d2"):
        use.add_local(name, ServerUse(28_000, 7, 0))
    assert choose(generation(), servers, use) is None


def test_decode_server_runs_one_prefill_at_a_time():
    # When no prefill server is available for seconds, consecutive prefills on one
    # decode server would stall all its streams.
    servers = [server("d1"), server("d2")]
    use = FleetUse()
    for name in ("d1", "d2"):
        placement = choose(generation(), servers, use)
        assert (placement.decode.name, placement.prefill) == (name, None)
        for server_name, change in placement.uses():
            use.add_local(server_name, change)
    assert choose(generation(), servers, use) is None
    use.add_local("d2", ServerUse(0, 0, -3_000))
    assert choose(generation(), servers, use).decode.name == "d2"


@pytest.mark.parametrize("prefill", [[], [server("p1", PREFILL)]])
def test_no_long_local_prefill_on_a_server_with_several_streams(prefill):
    # A single long prompt would make the streams of up to nine callers late.
    servers = [server("d1"), server("d2"), *prefill]
    use = FleetUse()
    use.add_local("p1", ServerUse(0, 0, 30_000))
    use.add_local("d1", ServerUse(4_000, 2, 0))
    # The idle server d2 is chosen although d1 has the lower cost.
    costs = {"d2": 9.0}
    placement = choose(
        generation(prompt=6_000), servers, use, lambda name: costs.get(name, 1.0)
    )
    assert (placement.decode.name, placement.prefill) == ("d2", None)
    use.add_local("d2", ServerUse(4_000, 2, 0))
    assert choose(generation(prompt=6_000), servers, use) is None
    assert choose(generation(prompt=2_500), servers, use).prefill is None
