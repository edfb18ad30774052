"""Test the choice between engines that end a prefill at the same time."""

import random

import attrs

from sesameport.admission import (
    FleetUse,
    PlacementPolicy,
    ServerUse,
    place_generation,
    prefix_parts,
)
from sesameport.admission.tests.builders import PROFILE, generation, server
from sesameport.domain import ServerRole

SERVERS = [server(f"p{n}", ServerRole.PREFILL) for n in range(12)] + [server("d1")]


def chosen(ids, tokens, use=None, speeds=None, servers=SERVERS):
    req = generation(sum(tokens))
    req = attrs.evolve(req, prefix=prefix_parts(ids, tokens))
    state = PROFILE, servers, use or FleetUse(), lambda name: 1.0, PlacementPolicy()
    return place_generation(req, *state, speeds or {}).unwrap().prefill.name


def test_hosts_agree_although_their_order_and_measured_speeds_differ():
    # The noise of a host's own speeds is larger than what a cached part saves.
    rng, engines = random.Random(2), set()
    for number in range(40):
        found = set()
        for own in range(8):
            speeds = {f"p{n}": rng.uniform(24_000, 30_000) for n in range(12)}
            servers = rng.sample(SERVERS, len(SERVERS))
            ids = [f"{number:x}", f"f{own}"]
            found.add(chosen(ids, [200, 3_000], None, speeds, servers))
        assert len(found) == 1
        engines |= found
    assert len(engines) > 8


def test_a_queue_outweighs_the_order_and_own_parts_do_not_count():
    first = chosen(["a1", "f1"], [200, 3_000])
    use = FleetUse()
    use.add_local(first, ServerUse(0, 0, 1))
    assert chosen(["a1", "f1"], [200, 3_000], use) != first
    # A prompt without shared parts goes where the host measured the fastest prefills.
    assert chosen(["f1"], [3_000], None, {"p7": 30_001.0}) == "p7"


def test_prompts_that_share_the_larger_part_prefer_few_engines():
    found = [chosen(["a1", f"{n:x}", "f1"], [500, 50, 900]) for n in range(40)]
    assert len(set(found)) <= 4


def test_speeds_of_another_service_do_not_count():
    # Guards against engines that look too busy because those of another service are
    # slow.
    use = FleetUse()
    for n in range(12):
        use.add_local(f"p{n}", ServerUse(0.0, 0, 6_000.0))
    speeds = {f"other{n}": 8_000.0 for n in range(20)}
    assert chosen(["aa", "b1"], [200, 2_800], use, speeds) in {
        f"p{n}" for n in range(12)
    }
