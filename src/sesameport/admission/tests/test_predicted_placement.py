"""Test placement by learned speeds and cached prefixes, without a network."""

import hashlib
import random

import attrs
import pytest

from sesameport.admission import (
    FleetUse,
    PlacementPolicy,
    Predictions,
    ServerUse,
    choose_plain_server,
    place_generation,
    prefix_parts,
)
from sesameport.admission.tests.builders import PROFILE, generation, server
from sesameport.domain import ServerRole

CHOICES_BEFORE = "5eb9ec049bd62fb6474a11c30706844c1a35ce6c3ff41b7ca45bf9355b3a39ef"
"""Digest of `choices` with the code before predictions, commit 67bcb35."""


def choices(prefix=(), **predictions):
    """Return a digest of 1,000 placements of each kind in random states."""
    rng, found = random.Random(5), []
    roles = [ServerRole.DECODE, ServerRole.PREFILL, ServerRole.BOTH, ServerRole.PLAIN]
    for _ in range(1_000):
        servers = [
            server(f"s{n}", rng.choice(roles), rng.choice("ab"), slots=8)
            for n in range(rng.randint(2, 12))
        ]
        use, factors = FleetUse(), {}
        for item in servers:
            tokens = rng.choice([0, 3_000, 9_000, 30_000])
            used = ServerUse(tokens, tokens // 3_000, rng.choice([0, tokens]))
            use.add_local(item.name, used)
            factors[item.name] = rng.choice([1.0, 1.0, 1.3])
        speeds = {item.name: rng.choice([20_000.0, 30_000.0]) for item in servers}
        req = generation(rng.randint(100, 9_000), centre=rng.choice("ab"))
        req = attrs.evolve(req, prefix=prefix)
        policy, factor = PlacementPolicy(), factors.get
        result = place_generation(
            req, PROFILE, servers, use, factor, policy, speeds, 3.4, **predictions
        )
        placed = result.ok()
        plain = choose_plain_server("a", servers, use, factor)
        found.append(
            (
                placed and placed.decode.name,
                placed and placed.prefill and placed.prefill.name,
                placed and placed.expected_prefill_s,
                plain and plain.name,
                str(result.err()),
            )
        )
    return hashlib.sha256(repr(found).encode()).hexdigest()


def test_without_predictions_all_choices_are_as_before():
    # Deployments with equal servers must be served as by the build before.
    assert choices() == CHOICES_BEFORE
    # What is predicted of servers that are not there has no effect either.
    other = Predictions(cached_tokens={"other": 2_000.0})
    assert choices(predictions=other) == CHOICES_BEFORE
    # Nor does a part that only one request has.
    assert choices(prefix_parts(["f1"], [3_000])) == CHOICES_BEFORE


def place(servers, use, predictions, req=None):
    state = PROFILE, servers, use, lambda name: 1.0, PlacementPolicy(), {}
    req = req or generation()
    return place_generation(req, *state, predictions=predictions).unwrap()


def test_faster_decode_engines_get_more_load_but_not_all():
    # A slow engine is as good as a fast one that is loaded more.
    servers = [server(f"d{n}") for n in range(4)] + [server("p1", ServerRole.PREFILL)]
    use, counts = FleetUse(), dict.fromkeys(["d0", "d1", "d2", "d3"], 0)
    predictions = Predictions(gap_factors={"d0": 0.46})
    for _ in range(16):
        decode = place(servers, use, predictions).decode.name
        use.add_local(decode, ServerUse(3_712, 1, 0))
        counts[decode] += 1
    assert counts["d0"] == 7
    assert sorted(counts.values()) == [3, 3, 3, 7]


def test_prefill_goes_where_it_ends_first():
    servers = [server("d1"), server("p1", ServerRole.PREFILL)]
    servers.append(server("p2", ServerRole.PREFILL))
    use = FleetUse()
    use.add_local("p2", ServerUse(0, 0, 3_000))
    assert place(servers, use, Predictions()).prefill.name == "p1"
    slow = Predictions({"p1": 12_000.0}, typical_prefill_speed=30_000.0)
    assert place(servers, use, slow).prefill.name == "p2"
    kept = Predictions(cached_tokens={"p2": 2_000.0})
    assert place(servers, use, kept).prefill.name == "p1"
    kept = Predictions(cached_tokens={"p2": 3_100.0})
    placed = place(servers, use, kept, generation(6_000))
    assert placed.prefill.name == "p2"
    # The prefill may not find the parts, so its time-out does not rely on them.
    assert placed.expected_prefill_s == pytest.approx(9_000 / 30_000)
    assert placed.prefill_use().prefill_tokens == 2_900


def test_decode_engine_with_cached_parts_wins_only_among_nearly_equal_ones():
    servers = [server("d1"), server("d2"), server("p1", ServerRole.PREFILL)]
    use, kept = FleetUse(), Predictions(cached_tokens={"d2": 2_500.0})
    assert place(servers, use, kept).decode.name == "d2"
    use.add_local("d2", ServerUse(4_000, 1, 0))
    assert place(servers, use, kept).decode.name == "d1"


def test_slow_plain_server_gets_less_but_is_used_in_a_burst():
    servers = [server(f"s{n}", ServerRole.PLAIN, slots=4) for n in range(2)]
    use, counts = FleetUse(), {"s0": 0, "s1": 0}
    for _ in range(21):
        factors = {"s0": 2.5}
        chosen = choose_plain_server(
            "a", servers, use, lambda name: 1.0, time_factors=factors
        )
        use.add_local(chosen.name, ServerUse(0, 1, 0))
        counts[chosen.name] += 1
    assert counts == {"s0": 6, "s1": 15}
