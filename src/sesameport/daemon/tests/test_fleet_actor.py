"""Check the Fleet actor over real sockets against the platform stand-in."""

import time

import pytest
from result import Err

from sesameport.adapters import HttpPlatform, TimerService
from sesameport.adapters.peer_link import ZmqPeerLink
from sesameport.daemon.fleet.fleet_actor import check_document
from sesameport.daemon.fleet.fleet_handle import FleetHandle
from sesameport.daemon.fleet.fleet_messages import FleetOptions
from sesameport.daemon.views.fleet_view import FleetTopic
from sesameport.fleet.peer_messages import DigestAsk
from sesameport.interfaces import PlatformError, PlatformErrorKind, Sender
from sesameport.standins.platform import PlatformStandin
from sesameport.world import Host

CENTRES = ("rajkot-a", "jamnagar-b")
DOCUMENT = """
name = "stock"
kind = "plain"
[[workspaces]]
name = "{workspace}"
[[routes]]
path = "/stock/"
"""


def text(workspace):
    return DOCUMENT.replace("{workspace}", workspace).encode()


def wait_for(condition, seconds=20.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


def states_of(fleet):
    evidence = fleet.view().platform_evidence(time.monotonic())
    return {item.state for item in evidence.values()}


class Deployment:
    """Run Fleet actors of several hosts in one process."""

    def __init__(self):
        self.standin = PlatformStandin()
        self.url = self.standin.start(threads=16)
        self.hosts, self.fleets, self.parts = {}, {}, {}

    def start(self, name, centre, seeds=()):
        sender = Sender(name, f"{name}-{len(self.parts)}", centre)
        link = ZmqPeerLink(sender, "127.0.0.1:0", seeds=seeds)
        timers = TimerService().start()
        host = Host(name, centre, peer_address=link.start())
        options = FleetOptions(
            host, sender.incarnation, CENTRES, tuple(link.seed_names())
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
        self.parts[name] = (link, timers, changes)
        self.standin.set_hosts(tuple(self.hosts.values()), ())
        return fleet

    def stop(self, name):
        link, timers, _ = self.parts[name]
        self.fleets.pop(name).stop()
        timers.stop()
        link.close()

    def in_force(self, workspace):
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
    """Guards the wiring: reads, pushes, answers, views and callbacks."""
    for i in range(4):
        deployment.start(f"h{i}", CENTRES[i % 2])
    first = deployment.standin.put("ServiceDocument", "stock", text("one"))
    assert wait_for(lambda: deployment.in_force("one"))
    fleets = deployment.fleets.values()
    alive = {"rajkot-a": ("h0", "h2"), "jamnagar-b": ("h1", "h3")}
    assert wait_for(lambda: all(f.view().alive == alive for f in fleets))
    deployment.standin.put("ServiceDocument", "stock", b"name = 1")
    assert wait_for(lambda: all("stock" in f.view().findings for f in fleets))
    assert deployment.in_force("one")
    for fleet in fleets:
        view = fleet.view()
        assert view.documents["stock"].version == first
        assert view.freshness_age(time.monotonic()) < 8
    assert wait_for(lambda: all(states_of(f) == {"reachable"} for f in fleets))
    for _, _, changes in deployment.parts.values():
        assert {"documents", "members", "servers"} <= set(changes)


def test_host_that_starts_while_the_platform_is_down_learns_from_a_seed(deployment):
    """Guards against a restart that needs the platform."""
    for name in ("h0", "h1"):
        deployment.start(name, "rajkot-a")
    deployment.standin.put("ServiceDocument", "stock", text("one"))
    assert wait_for(lambda: deployment.in_force("one"))
    deployment.standin.faults.down = True
    seed = deployment.hosts["h0"].peer_address
    late = deployment.start("h2", "rajkot-a", seeds=[seed])
    assert wait_for(lambda: deployment.in_force("one"))
    assert wait_for(lambda: late.view().alive.get("rajkot-a") == ("h0", "h1", "h2"))
    deployment.fleets["h1"].leave()
    deployment.stop("h1")
    gone = ("h1", "left")
    assert wait_for(
        lambda: [(d.host, d.reason) for d in late.view().ended_incarnations] == [gone]
    )


class ManualTimers:
    """Hold the time and call subscribers only when told."""

    def __init__(self):
        self.time = 100.0
        self.callbacks = []

    def now(self):
        return self.time

    def subscribe(self, _name, _period_s, callback, jitter=0.1):
        self.callbacks.append(callback)


class RecordingLink:
    """Record sends and hand messages to subscribers."""

    def __init__(self, events):
        self.events = events
        self.callbacks = {}

    def send(self, _host, message):
        self.events.append(type(message).__name__)

    def subscribe(self, message_type, callback):
        self.callbacks[message_type] = callback


class LostPlatform:
    """Fail every read."""

    def hosts(self):
        return Err(PlatformError(PlatformErrorKind.UNAVAILABLE))

    def list(self, _kind):
        return self.hosts()


def test_paused_host_steps_down_before_it_answers_any_message():
    """Guards against a role used between a pause and the late timer tick."""
    events = []
    timers, link = ManualTimers(), RecordingLink(events)
    host = Host("h0", "rajkot-a")
    subscribers = [
        (FleetTopic.STEPPED_DOWN, lambda view: events.append("stepped-down"))
    ]
    fleet = FleetHandle(
        FleetOptions(host, "i", CENTRES),
        LostPlatform(),
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


def test_document_of_another_name_or_encoding_is_a_finding():
    assert check_document("stock", text("one"))[1] == []
    assert "differs" in check_document("other", text("one"))[1][0].message
    assert "UTF-8" in check_document("stock", b"\xff")[1][0].message
