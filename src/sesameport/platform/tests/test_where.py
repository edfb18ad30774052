"""Test the question where a request would go, against a running host."""

import json
import math

import cappa
import pytest

from sesameport.commands import Sesameport
from sesameport.entry import messages as m
from sesameport.entry.settings import FleetBounds
from sesameport.platform.tests.conftest import make_configuration, wait_until


def where(host, capsys, *arguments):
    """Run the command; return its exit code and what it printed."""
    address = host._listeners.metrics_address
    argv = ["where", address, "--workspace", "w", *arguments]
    return cappa.invoke(Sesameport, argv=argv), capsys.readouterr()


def explain(host, capsys, *arguments):
    code, printed = where(host, capsys, "--json", *arguments)
    assert code == 0, printed.err
    (service,) = json.loads(printed.out)["services"]
    candidates = {item.pop("server"): item for item in service["candidates"]}
    return service["decision"], candidates


def test_answer_names_the_servers_that_a_request_then_gets(host, cluster, capsys):
    arguments = ("--route", "draft", "--tokens", "1000,400", "--parts", "a1:600")
    decision, candidates = explain(host, capsys, *arguments)
    assert (decision["prefill"], decision["decode"]) == ("p1", "d1")
    assert candidates["d1"]["is_chosen"]
    assert candidates["d1"]["free_tokens"] == 20_000
    assert candidates["p1"]["prefill_s"] == pytest.approx(1_000 / 30_000, abs=0.001)
    assert sorted(candidates) == ["d1", "p1"]
    # Nothing was sent, charged or reserved.
    assert explain(host, capsys, *arguments) == (decision, candidates)
    assert not cluster.replicas["d1"].received_requests
    assert cluster.send_generation().status == 200
    code, printed = where(host, capsys, *arguments)
    assert code == 0
    assert "> d1 decode in a: cached_tokens=0 free_tokens=20000" in printed.out


def test_parts_of_earlier_requests_are_expected_in_the_caches(
    host, capsys, cluster, monkeypatch
):
    # With the usual half-life the estimate falls to 599 tokens within 0.4 s.
    half_life = "sesameport.admission.kept_prefixes.AGE_HALF_LIFE_S"
    monkeypatch.setattr(half_life, math.inf)
    prefix = {"X-Prompt-Prefix": "A1:600,b2:100,ff01:300"}
    assert cluster.send_generation(headers=prefix).status == 200
    arguments = ("--route", "draft", "--tokens", "1000,400", "--parts", "a1:600,c3:9")
    wait_until(lambda: explain(host, capsys, *arguments)[0]["cached_tokens"] > 590)
    _, candidates = explain(host, capsys, *arguments)
    assert [candidates[name]["cached_tokens"] for name in ("p1", "d1")] == [600, 600]


def test_answer_says_what_excludes_servers_and_what_is_refused(host, cluster, capsys):
    wait_until(lambda: len(host.usable_servers()) == 3)
    decision, candidates = explain(host, capsys, "--route", "look")
    assert decision == {"plain": "s1"}
    host._actor.tell(m.CallOutcome("s1", unreachable=True))
    decision, candidates = explain(host, capsys, "--route", "look")
    assert decision == {"refused": "no-server", "retry_after_s": [2.8, 4.4]}
    assert candidates["s1"]["excluded"] == "paused after failures"
    big = ("--route", "draft", "--tokens", "30000,400")
    decision, candidates = explain(host, capsys, *big)
    assert (decision["refused"], decision["forecast_s"]) == (
        "no-decode-memory-soon",
        None,
    )
    assert candidates["d1"]["excluded"] == "not enough free memory"


def test_answer_says_for_how_long_a_workspace_is_over_its_rate(host, cluster, capsys):
    workspaces = make_configuration()["tenants"]
    workspaces[0].update(ratePerS=10, burst=100)
    cluster.configure(2, tenants=workspaces)
    wait_until(lambda: host.configuration_version() == 2)
    arguments = ("--route", "draft", "--tokens", "60,40")
    first, _ = explain(host, capsys, *arguments)
    assert first["refused"] == "over-quota"
    assert 0 < first["retry_after_s"] <= 10


def test_answer_says_what_evacuations_and_home_regions_exclude(cluster, capsys):
    # Guards against answers that name servers which the host would not use.
    replica = cluster.add_replica("s2", "desk")
    cluster.store.put("servers", "s2", replica.registration("desk", zone="b"))
    bounds = FleetBounds(evacuate_s=5.0)
    host = cluster.start_host(bounds=bounds, regions={"a": "north", "b": "south"})
    wait_until(lambda: host.is_ready() and len(host.usable_servers()) == 4)
    workspaces = make_configuration()["tenants"]
    workspaces[0]["allowedRegions"] = ["south"]
    cluster.configure(2, tenants=workspaces)
    wait_until(lambda: host.configuration_version() == 2)
    decision, candidates = explain(host, capsys, "--route", "look")
    assert decision == {"plain": "s2"}
    assert candidates["s1"]["excluded"] == "outside the home regions"
    arguments = ("--route", "draft", "--tokens", "1000,400")
    decision, candidates = explain(host, capsys, *arguments)
    assert decision["refused"] == "no-home-region"
    cluster.store.put("evacuations", "b", {})
    wait_until(lambda: "s2" not in host.usable_servers())
    decision, candidates = explain(host, capsys, "--route", "look")
    assert decision["refused"] == "data-centre-evacuated"
    assert candidates["s2"]["excluded"] == "the data centre is evacuated"


@pytest.mark.parametrize(
    "arguments", [("--route", "none"), ("--route", "draft", "--tokens", "many")]
)
def test_question_about_nothing_has_exit_code_1(host, capsys, arguments):
    code, printed = where(host, capsys, *arguments)
    assert code == 1
    assert "status 40" in printed.err
