"""Test the Fleet actor over real sockets against the platform stand-in."""

import time

import pytest
from result import Err

from sesameport.adapters import HttpPlatform, TimerService
from sesameport.adapters.peer_link import ZmqPeerLink
from sesameport.daemon.fleet.fleet_actor import check_document
from sesameport.daemon.fleet.fleet_handle import FleetHandle
from sesameport.daemon.fleet.fleet_messages import FleetOptions
from sesameport.daemon.views.fleet_view import FleetTopic
from sesameport.domain import Host
from sesameport.fleet.peer_messages import DigestAsk
from sesameport.interfaces import PlatformError, PlatformErrorKind, Sender
from sesameport.standins.platform import PlatformStandin

DATA_CENTRES = ("rajkot-a", "jamnagar-b")
DOCUMENT = """
name = "stock"
kind = "plain"
[[workspaces]]
name = "{workspace}"
[[routes]]
path = "/stock/"
"""


def document_text(workspace):
    return DOCUMENT.replace("{workspace}", workspace).encode()


def wait_for(condition, seconds=20.0):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False


def evidence_states(fleet):
    evidence_by_data_centre = fleet.view().platform_evidence(time.monotonic())
    return {evidence.state for evidence in evidence_by_data_centre.values()}


class Deployment:
    """Run the Fleet actors of several hosts in one process."""

    def __init__(self):
        self.standin = PlatformStandin()
        self.url = self.standin.start(threads=16)
        self.hosts, self.fleets, self.resources = {}, {}, {}

    def start(self, name, data_centre, seeds=()):
        sender = Sender(name, f"{name}-{len(self.resources)}", data_centre)
        link = ZmqPeerLink(sender, "127.0.0.1:0", seeds=seeds)
        timers = TimerService().start()
        host = Host(name, data_centre, peer_address=link.start())
        options = FleetOptions(
            host, sender.incarnation, DATA_CENTRES, tuple(link.seed_addresses())
        )
        platform = HttpPlatform(self.url, 1.0)
        changes = []
        topics = [
            (topic, lambda view, t=topic: changes.append(t)) for topic in FleetTopic
        ]
        fleet = FleetHandle(
            options, platform, link, timers, link.set_hosts, subscribers=topics
        )
        self.hosts[name] = host
        self.fleets[name] = fleet
        self.resources[name] = (link, timers, changes)
        self.standin.set_hosts(tuple(self.hosts.values()), ())
        return fleet

    def stop(self, name):
        link, timers, _ = self.resources[name]
        self.fleets.pop(name).stop()
        timers.stop()
        link.close()

    def is_active_everywhere(self, workspace):
        views = [fleet.view() for fleet in self.fleets.values()]
        return all(
            "stock" in view.documents
            and view.documents["stock"].document.workspaces[0].name == workspace
            for view in views
        )


@pytest.fixture
def deployment():
    deployment = Deployment()
    yield deployment
    for name in list(deployment.fleets):
        deployment.stop(name)
    deployment.standin.stop()


def test_documents_members_and_findings_reach_every_host(deployment):
    """Guard against a missing connection between reads, pushes, views and callbacks."""
    for i in range(4):
        deployment.start(f"h{i}", DATA_CENTRES[i % 2])
    first_version = deployment.standin.put(
        "ServiceDocument", "stock", document_text("one")
    )
    assert wait_for(lambda: deployment.is_active_everywhere("one"))
    fleets = deployment.fleets.values()
    alive = {"rajkot-a": ("h0", "h2"), "jamnagar-b": ("h1", "h3")}
    assert wait_for(lambda: all(f.view().alive == alive for f in fleets))
    deployment.standin.put("ServiceDocument", "stock", b"name = 1")
    assert wait_for(lambda: all("stock" in f.view().findings for f in fleets))
    assert deployment.is_active_everywhere("one")
    for fleet in fleets:
        view = fleet.view()
        assert view.documents["stock"].version == first_version
        assert view.freshness_age(time.monotonic()) < 8
    assert wait_for(lambda: all(evidence_states(f) == {"reachable"} for f in fleets))
    for _, _, changes in deployment.resources.values():
        assert {"documents", "members", "servers"} <= set(changes)


def test_host_started_during_platform_outage_gets_state_from_seed(deployment):
    """Guard against a host that cannot start while the platform is down."""
    for name in ("h0", "h1"):
        deployment.start(name, "rajkot-a")
    deployment.standin.put("ServiceDocument", "stock", document_text("one"))
    assert wait_for(lambda: deployment.is_active_everywhere("one"))
    deployment.standin.faults.down = True
    seed = deployment.hosts["h0"].peer_address
    late = deployment.start("h2", "rajkot-a", seeds=[seed])
    assert wait_for(lambda: deployment.is_active_everywhere("one"))
    assert wait_for(lambda: late.view().alive.get("rajkot-a") == ("h0", "h1", "h2"))
    deployment.fleets["h1"].leave()
    deployment.stop("h1")
    expected = ("h1", "left")
    assert wait_for(
        lambda: (
            [(d.host, d.reason) for d in late.view().ended_incarnations] == [expected]
        )
    )


class ManualTimers:
    """Provide a clock that the test sets and callbacks that the test calls."""

    def __init__(self):
        self.time = 100.0
        self.callbacks = []

    def now(self):
        return self.time

    def subscribe(self, _name, _period_s, callback, jitter=0.1):
        self.callbacks.append(callback)


class RecordingLink:
    """Record the kinds of sent messages and the subscribed callbacks."""

    def __init__(self, events):
        self.events = events
        self.callbacks = {}

    def send(self, _host, message):
        self.events.append(type(message).__name__)

    def subscribe(self, message_type, callback):
        self.callbacks[message_type] = callback


class FailingPlatform:
    """Fail every read."""

    def hosts(self):
        return Err(PlatformError(PlatformErrorKind.UNAVAILABLE))

    def list(self, _kind):
        return self.hosts()


def test_paused_host_steps_down_before_it_answers_any_message():
    """Guard against a host that uses an expired role after a pause.

    A message may be handled before the first timer tick that follows the pause.
    """
    events = []
    timers, link = ManualTimers(), RecordingLink(events)
    host = Host("h0", "rajkot-a")
    subscribers = [
        (FleetTopic.STEPPED_DOWN, lambda view: events.append("stepped-down"))
    ]
    fleet = FleetHandle(
        FleetOptions(host, "i", DATA_CENTRES),
        FailingPlatform(),
        link,
        timers,
        lambda hosts: None,
        subscribers=subscribers,
    )
    sender = Sender("h1", "i1", "rajkot-a")
    timers.callbacks[0](timers.time)
    link.callbacks[DigestAsk](sender, DigestAsk(1, ""))
    assert wait_for(lambda: events == ["DigestAnswer"])
    timers.time += 60
    link.callbacks[DigestAsk](sender, DigestAsk(2, ""))
    assert wait_for(lambda: len(events) == 3)
    assert events == ["DigestAnswer", "stepped-down", "DigestAnswer"]
    fleet.stop()


def test_document_with_wrong_name_or_encoding_is_rejected_with_a_finding():
    """Guard against a malformed object that is accepted or raises an exception."""
    assert check_document("stock", document_text("one"))[1] == []
    assert "differs" in check_document("other", document_text("one"))[1][0].message
    assert "UTF-8" in check_document("stock", b"\xff")[1][0].message
