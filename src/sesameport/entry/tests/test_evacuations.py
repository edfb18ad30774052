"""Test which servers get nothing during evacuations, without a network."""

import attrs
import pytest

from sesameport.admission import Evacuations
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.evacuation_controller import EvacuationController
from sesameport.entry.requests import FailureKind, KvSource
from sesameport.entry.role_change_selector import RoleChangeSelector
from sesameport.entry.role_controller import RoleChange
from sesameport.entry.server_calls import EvacuationOrderClient, NoticedServerClient
from sesameport.entry.servers import EntryServer
from sesameport.entry.tests.test_admission_controller import (
    PROFILE,
    EntryConfiguration,
    EntryService,
    settings,
)

ROLES = {"p": ServerRole.PREFILL, "d": ServerRole.DECODE, "s": ServerRole.PLAIN}


class Metrics:
    def count(self, name, *args, **labels):
        """Ignore a count."""

    set = count


@attrs.define
class Host:
    """Run the admission and the evacuations of one host; servers are named "a-d0"."""

    evacuations: Evacuations
    admission: AdmissionController
    controller: EvacuationController
    ended: list = attrs.field(factory=list)
    published: list = attrs.field(factory=list)
    missed: list = attrs.field(factory=list)

    @classmethod
    def create(cls, *servers, is_known=True):
        evacuations = Evacuations(is_known)
        ended, published, missed = [], [], []
        admission = AdmissionController(
            settings("h"), lambda now: None, lambda at: None, evacuations=evacuations
        )
        services = (EntryService("llm", engine=PROFILE), EntryService("desk"))
        admission.configuration = EntryConfiguration(1, services=services)
        for name in servers:
            role = ROLES[name[2]]
            service = "desk" if role == ServerRole.PLAIN else "llm"
            server = EntryServer(name, service, "", name[0], role, slots=24)
            admission.registry.put(server)
            evacuations.record_server(name, name[0])
        controller = EvacuationController(
            evacuations,
            admission.registry,
            admission.use,
            Metrics(),
            "h",
            published.append,
            missed.append,
            lambda *end: ended.append(end),
        )
        return cls(evacuations, admission, controller, ended, published, missed)

    def usable(self, service="desk", now=1.0):
        return {
            server.name
            for server in self.admission.monitor.usable_servers(service, now)
        }

    def admit_plain(self):
        req = m.AdmitPlain("r", "desk", "w", 0.0)
        return self.admission.admit_plain(req, 1.0)


def test_evacuations_begin_and_end_independently_of_each_other():
    host = Host.create("a-s0", "b-s0", "c-s0")
    for names in (("a",), ("a", "b"), ("a", "b")):
        host.controller.apply(m.EvacuationsListed(names), 1.0)
    host.controller.apply(m.EvacuationsChanged(added=("a",)), 2.0)
    assert host.usable() == {"c-s0"}
    host.controller.apply(m.EvacuationsChanged(removed=("a",)), 3.0)
    host.controller.apply(m.EvacuationsChanged(removed=("a",)), 4.0)
    assert host.usable() == {"a-s0", "c-s0"}
    assert host.ended == [("a", 3.0)]
    assert host.evacuations.ended_at("a") == 3.0


def test_evacuation_of_a_data_centre_without_servers_changes_nothing():
    host = Host.create("a-s0")
    host.controller.apply(m.EvacuationsChanged(added=("nowhere",)), 1.0)
    assert host.usable() == {"a-s0"}
    host.controller.apply(m.EvacuationsListed(()), 2.0)
    assert host.ended == [("nowhere", 2.0)]


def test_request_is_refused_at_once_if_all_its_servers_are_evacuated():
    host = Host.create("a-s0", "a-d0", "b-p0")
    host.controller.apply(m.EvacuationsListed(("a",)), 1.0)
    assert host.admit_plain().reason == "data-centre-evacuated"
    reason = host.admission.monitor.no_decode_server_reason("llm")
    assert reason == "data-centre-evacuated"


def test_demand_goes_to_all_other_data_centres_by_their_free_capacity():
    # Guards against sending all of it to the nearest one.
    host = Host.create("a-s0", "a-s1", "b-s0", "c-s0", "c-s1", "c-s2")
    host.controller.apply(m.EvacuationsListed(("a",)), 1.0)
    for _ in range(80):
        host.admit_plain()
    used = {name: use.active_requests for name, use in host.admission.use.local.items()}
    assert used == {"b-s0": 20, "c-s0": 20, "c-s1": 20, "c-s2": 20}


def test_nothing_is_sent_until_the_evacuations_are_known():
    # A host that starts during an evacuation may learn the servers first.
    host = Host.create("a-s0", "b-s0", is_known=False)
    assert host.usable() == set()
    host.controller.apply(m.EvacuationsListed(("a",)), 1.0)
    assert host.usable() == {"b-s0"}


@pytest.mark.parametrize(
    "evacuated, age_s, expected",
    [
        (("b",), 2.0, {"a-s0"}),  # newer than the own state
        ((), 2.0, {"a-s0", "b-s0"}),
        ((), 20.0, {"b-s0"}),  # older: the evacuation began after it
        (None, 0.0, {"b-s0"}),  # of an older build
    ],
)
def test_newest_known_state_is_in_force_while_the_store_is_away(
    evacuated, age_s, expected
):
    host = Host.create("a-s0", "b-s0")
    host.controller.apply(m.EvacuationsListed(("a",)), 90.0)
    snapshot = m.FleetSnapshot("o", False, None, (), {}, evacuated, age_s)
    host.controller.apply_snapshot(snapshot, 100.0)
    assert host.usable(now=100.0) == expected


def test_store_is_read_again_if_another_host_knows_of_another_state():
    # A watch whose answer is lost would bring the evacuation after up to 27 s.
    host = Host.create("a-s0")
    host.controller.apply(m.EvacuationsListed(("a",)), 1.0)
    assert host.published == [m.EvacuationReport("h", ("a",))]
    host.controller.record_report(m.EvacuationReport("o", ("a",)), 2.0)
    host.controller.check_progress(3.0)
    assert not host.missed
    host.controller.record_report(m.EvacuationReport("o", ()), 4.0)
    host.controller.check_progress(4.5)
    assert not host.missed
    host.controller.check_progress(5.0)
    host.controller.check_progress(9.0)
    assert host.missed == ["evacuations"]
    assert host.usable() == set()  # the report itself is not applied


class Calls:
    """Record the calls that are sent."""

    def __init__(self):
        self.sent = []

    def __getattr__(self, name):
        return lambda *args, **kwargs: self.sent.append(name)


@attrs.frozen
class Request:
    resume_after: str = ""
    body: bytes = b""


def test_request_that_was_placed_before_the_evacuation_is_not_sent():
    host, calls = Host.create("a-d0", "b-d0"), Calls()
    client = NoticedServerClient(
        host.admission.limits, lambda message: None, Metrics(), host.evacuations
    ).wrap(calls)
    host.controller.apply(m.EvacuationsListed(("a",)), 1.0)
    host.admission.registry.remove("a-d0", 1.0)  # its address may still answer
    for result in (
        client.run("", "a-d0", Request(), None),
        client.run("", "a-d0", Request("7"), None),
        client.prefill("", "a-d0", Request(), None, 1.0),
    ):
        assert result.unwrap_err().kind == FailureKind.NOT_SENT
    assert client.free(KvSource("", "h", "a-d0")).is_err()
    assert calls.sent == []
    client.run("", "b-d0", Request(), None)
    assert calls.sent == ["run"]
    assert host.evacuations.last_sent_s("a", 2.0) is None


def test_engine_of_an_evacuated_data_centre_gets_no_order():
    host, calls = Host.create("a-d0"), Calls()
    orders = EvacuationOrderClient(calls, host.evacuations)
    host.controller.apply(m.EvacuationsListed(("a",)), 1.0)
    server = host.admission.registry.get("a-d0")
    assert orders.read_state(server).is_err()
    change = RoleChange(server, ServerRole.PREFILL)
    assert orders.change_role(change, "h", 1, 0).is_err()
    assert calls.sent == []


def test_role_that_only_an_evacuated_data_centre_has_is_filled_elsewhere():
    # Guards against waiting for engines that will not come back by themselves, and
    # against an order to one of them.
    host = Host.create("a-p0", *(f"b-d{n}" for n in range(5)))
    selector = RoleChangeSelector("h", host.admission)
    assert selector.next_change(100.0) is None
    host.controller.apply(m.EvacuationsListed(("a",)), 101.0)
    change = selector.next_change(102.0)
    assert (change.server.data_centre, change.role) == ("b", ServerRole.PREFILL)
    assert change.engines == 5
