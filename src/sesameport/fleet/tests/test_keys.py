"""Test the freshness rule of keys and the key index."""

import pytest

from sesameport.domain import ServiceDocument, Workspace
from sesameport.fleet.freshness import EvidenceState, PlatformEvidence
from sesameport.fleet.keys import (
    KeyDecision,
    KeyIndex,
    KeyOwner,
    decide_key,
    is_configuration_usable,
)

CENTRES = ("a", "b", "c")
REACHABLE, UNREACHABLE = EvidenceState.REACHABLE, EvidenceState.UNREACHABLE


def usable(age_s, evidence, own=UNREACHABLE):
    states = {"a": own, **evidence}
    by_centre = {
        name: state
        if isinstance(state, PlatformEvidence)
        else PlatformEvidence(name, state, 1.0)
        for name, state in states.items()
    }
    return is_configuration_usable(age_s, 8.0, "a", CENTRES, by_centre)


def test_fresh_configuration_is_usable_without_evidence():
    assert usable(8.0, {})


def test_keys_stay_valid_if_no_data_centre_reaches_the_platform():
    assert usable(600.0, {"b": UNREACHABLE, "c": UNREACHABLE})


@pytest.mark.parametrize(
    "evidence",
    [
        {"b": REACHABLE, "c": UNREACHABLE},
        {"b": REACHABLE, "c": REACHABLE},
        {"b": UNREACHABLE},
        {},
        {"b": UNREACHABLE, "c": EvidenceState.UNKNOWN},
        {"b": UNREACHABLE, "c": PlatformEvidence("c", UNREACHABLE, 8.1)},
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
    """Guards against accepting a key that an operator has withdrawn.

    At least one data centre may still reach the platform, where documents are edited.
    """
    assert not usable(8.1, evidence)


def test_stale_configuration_is_not_usable_if_a_host_nearby_reaches_the_platform():
    evidence = {"b": UNREACHABLE, "c": UNREACHABLE}
    assert not usable(8.1, evidence, own=REACHABLE)


def doc(**keys):
    return ServiceDocument(
        "svc", workspaces=tuple(Workspace(name, tuple(k)) for name, k in keys.items())
    )


def test_decisions_for_open_routes_valid_keys_and_stale_configuration():
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


def test_replace_returns_withdrawn_and_moved_keys():
    """Guards against open streams that continue after their key was withdrawn."""
    index = KeyIndex()
    assert index.replace("svc", doc(w=["k1", "k2"], v=["k3"])) == frozenset()
    assert index.replace("svc", doc(w=["k1", "k3"])) == {"k2", "k3"}
    assert index.find("svc", "k2") is None
    assert index.find("svc", "k3") == KeyOwner("svc", "w")
    assert index.replace("other", doc(x=["k3"])) == frozenset()
    assert index.owners("k3") == (KeyOwner("svc", "w"), KeyOwner("other", "x"))
    assert index.replace("svc", None) == {"k1", "k3"}
    assert index.find("svc", "k1") is None
