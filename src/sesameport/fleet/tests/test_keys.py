"""Check the freshness rule of keys case by case and the key index."""

import pytest

from sesameport.fleet.keys import (
    CentreEvidence,
    KeyDecision,
    KeyIndex,
    KeyOwner,
    PlatformEvidence,
    decide_key,
    is_configuration_usable,
)
from sesameport.world import ServiceDocument, Workspace

CENTRES = ("a", "b", "c")
REACHABLE, UNREACHABLE = PlatformEvidence.REACHABLE, PlatformEvidence.UNREACHABLE


def usable(age_s, evidence, own=UNREACHABLE):
    items = {"a": own, **evidence}
    heard = {
        name: item
        if isinstance(item, CentreEvidence)
        else CentreEvidence(name, item, 1.0)
        for name, item in items.items()
    }
    return is_configuration_usable(age_s, 8.0, "a", CENTRES, heard)


def test_fresh_configuration_is_usable_without_evidence():
    assert usable(8.0, {})


def test_platform_down_for_all_keeps_keys_valid():
    assert usable(600.0, {"b": UNREACHABLE, "c": UNREACHABLE})


@pytest.mark.parametrize(
    "evidence",
    [
        {"b": REACHABLE, "c": UNREACHABLE},
        {"b": REACHABLE, "c": REACHABLE},
        {"b": UNREACHABLE},
        {},
        {"b": UNREACHABLE, "c": PlatformEvidence.NOT_HEARD},
        {"b": UNREACHABLE, "c": CentreEvidence("c", UNREACHABLE, 8.1)},
    ],
    ids=[
        "one-other-reaches-it",
        "only-this-one-cut-off",
        "one-not-asked",
        "nothing-heard",
        "one-silent",
        "old-evidence",
    ],
)
def test_stale_configuration_is_not_usable(evidence):
    """Guards against a key that was withdrawn where somebody can still edit."""
    assert not usable(8.1, evidence)


def test_stale_configuration_is_not_usable_while_a_neighbour_reaches_the_platform():
    evidence = {"b": UNREACHABLE, "c": UNREACHABLE}
    assert not usable(8.1, evidence, own=REACHABLE)


def doc(**keys):
    return ServiceDocument(
        "svc", workspaces=tuple(Workspace(name, tuple(k)) for name, k in keys.items())
    )


def test_decisions_for_open_keyed_and_stale_routes():
    index = KeyIndex()
    index.replace("svc", doc(w=["k1"]))
    owner = KeyOwner("svc", "w")
    assert decide_key(index, "svc", "k1", False, True) == (KeyDecision.ALLOWED, owner)
    assert decide_key(index, "svc", "k1", False, False) == (KeyDecision.STALE, None)
    assert decide_key(index, "svc", "", True, False) == (KeyDecision.ALLOWED, None)
    for digest in ("k2", ""):
        decision = decide_key(index, "svc", digest, False, True)
        assert decision == (KeyDecision.UNKNOWN_KEY, None)
    assert decide_key(index, "other", "k1", False, True)[0] == KeyDecision.UNKNOWN_KEY


def test_withdrawn_and_moved_keys_are_returned_so_that_their_streams_end():
    index = KeyIndex()
    assert index.replace("svc", doc(w=["k1", "k2"], v=["k3"])) == frozenset()
    assert index.replace("svc", doc(w=["k1", "k3"])) == {"k2", "k3"}
    assert index.find("svc", "k2") is None
    assert index.find("svc", "k3") == KeyOwner("svc", "w")
    assert index.replace("other", doc(x=["k3"])) == frozenset()
    assert index.owners("k3") == (KeyOwner("svc", "w"), KeyOwner("other", "x"))
    assert index.replace("svc", None) == {"k1", "k3"}
    assert index.find("svc", "k1") is None
