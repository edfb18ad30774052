"""Check put, get, status and report against platform and host stand-ins."""

import cappa
import pytest
from cappa.testing import CommandRunner
from result import Err

from sesameport.adapters import HttpPlatform
from sesameport.commands.documents import (
    KIND,
    Get,
    Put,
    read_document,
    split_version_line,
    with_version_line,
    write_document,
)
from sesameport.commands.report import Report
from sesameport.commands.status import Status, format_status
from sesameport.interfaces import PlatformError, PlatformErrorKind
from sesameport.standins import PlatformStandin, demo_document
from sesameport.standins.http import LoopbackServer
from sesameport.telemetry.decisions import DecisionKind, DecisionRing
from sesameport.telemetry.metrics import Metrics
from sesameport.telemetry.status import (
    DocumentStatus,
    HoldStatus,
    HostStatus,
    LeaseStatus,
    MemberStatus,
    ShareStatus,
    decode_status,
    encode_status,
)
from sesameport.telemetry.status_api import StatusApi
from sesameport.telemetry.tests.samples import NOW, make_fleet_snapshots
from sesameport.world import Host

TEXT = demo_document("order-desk")


def _status(host: str, version: int = 4, **changes) -> HostStatus:
    fields = {
        "ready": True,
        "uptime_s": 60.0,
        "configuration_age_s": 1.5,
        "platform_reachable": True,
        "documents": (DocumentStatus("order-desk", version),),
        "members": (MemberStatus("h1", "rajkot-a", "alive"),),
        "leases": (LeaseStatus("pool/order-desk", "h1", 3),),
        "shares": (ShareStatus("order-desk", "dhol-makers", 100.0, 20.0, 5.0, "h1"),),
        "holds": (HoldStatus("rajkot-a-decode-1", "decode-slot", 2, 3.5, 1),),
    }
    return HostStatus(host, "rajkot-a", **{**fields, **changes})


class HostStandin:
    """Serve the status interface of one host; it has what the platform stores."""

    def __init__(self, platform: PlatformStandin, url: str, burn):
        self.ring = DecisionRing()
        self.stale = False
        self._client = HttpPlatform(url)
        api = StatusApi(
            self._status, lambda: burn, Metrics("h1", "rajkot-a"), lambda: True
        )
        self.server = LoopbackServer(api, 4).start()
        self.address = self.server.address
        platform.set_hosts((Host("h1", "rajkot-a", status_address=self.address),), ())

    def _status(self, request_id: str) -> HostStatus:
        stored = read_document(self._client, "order-desk").unwrap()
        version = 0 if self.stale or stored is None else stored.version
        found = self.ring.find(request_id) if request_id else []
        return _status("h1", version, decisions=tuple(found), now=NOW + 5)


@pytest.fixture
def world():
    platform = PlatformStandin()
    url = platform.start()
    host = HostStandin(platform, url, make_fleet_snapshots(1)[0])
    yield platform, url, host
    host.server.stop()
    platform.stop()


def _run(command, *args) -> int:
    try:
        return CommandRunner(command).invoke(*args) or 0
    except cappa.Exit as exc:
        return exc.code


def test_get_edit_put_is_in_force(world, tmp_path, capsys):
    platform, url, _ = world
    file = tmp_path / "order-desk.toml"
    file.write_text(TEXT)
    assert _run(Put, str(file), "--platform", url) == 0
    assert _run(Get, "order-desk", "--platform", url, "--output", str(file)) == 0
    version, body = split_version_line(file.read_text())
    assert body == TEXT
    file.write_text(file.read_text() + "# a note\n")
    assert _run(Put, str(file), "--platform", url) == 0
    assert f"version {version + 1} in force" in capsys.readouterr().out
    stored = HttpPlatform(url).get(KIND, "order-desk").unwrap()
    assert stored.value == (TEXT + "# a note\n").encode()


def test_second_of_two_operators_gets_the_other_version(world, tmp_path, capsys):
    """Guards against an edit that silently replaces another operator's edit."""
    platform, url, _ = world
    first = platform.put(KIND, "order-desk", TEXT.encode())
    mine = tmp_path / "mine.toml"
    mine.write_text(with_version_line(TEXT, first))
    theirs = platform.put(KIND, "order-desk", (TEXT + "# theirs\n").encode())
    assert _run(Put, str(mine), "--platform", url) == 1
    assert f"version {theirs} is there" in capsys.readouterr().err
    mine.write_text(TEXT)  # without a version, put only creates
    assert _run(Put, str(mine), "--platform", url) == 1
    assert f"version {theirs} is there" in capsys.readouterr().err
    stored = HttpPlatform(url).get(KIND, "order-desk").unwrap()
    assert stored.value.endswith(b"# theirs\n")


def test_findings_stop_the_write(world, tmp_path, capsys):
    platform, url, _ = world
    file = tmp_path / "bad.toml"
    file.write_text(TEXT + "\nunknown_field = 1\n" + "[targets]\nshare = 2.0\n")
    before = platform.calls["PUT"]
    assert _run(Put, str(file), "--platform", url) == 1
    assert "not written" in capsys.readouterr().err
    assert platform.calls["PUT"] == before


def test_raising_one_region_while_lowering_another_is_a_finding(
    world, tmp_path, capsys
):
    """Guards against I4: two regions that put the version in force at two moments."""
    platform, url, _ = world
    base = TEXT.split("[[regions]]")[0]
    regions = '[[regions]]\nname = "a"\nshare = {}\n[[regions]]\nname = "b"\nshare = {}'
    version = platform.put(
        KIND, "order-desk", (base + regions.format(0.5, 0.5)).encode()
    )
    file = tmp_path / "moved.toml"
    file.write_text(with_version_line(base + regions.format(0.6, 0.4), version))
    assert _run(Put, str(file), "--platform", url) == 1
    assert "lower the other share first" in capsys.readouterr().err


def test_put_names_hosts_where_the_version_is_not_in_force(world, tmp_path, capsys):
    _, url, host = world
    host.stale = True
    file = tmp_path / "d.toml"
    file.write_text(TEXT)
    assert _run(Put, str(file), "--platform", url, "--wait", "0.6") == 1
    assert "h1: none in force" in capsys.readouterr().out


class LossyPlatform:
    """Lose the answers of the first writes, with or without the effect."""

    def __init__(self, inner, effects):
        self.inner, self.effects = inner, list(effects)

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def update(self, *args):
        return self._lose(self.inner.update, args)

    def create(self, *args):
        return self._lose(self.inner.create, args)

    def _lose(self, call, args):
        if not self.effects:
            return call(*args)
        if self.effects.pop(0):
            call(*args)
        return Err(PlatformError(PlatformErrorKind.UNKNOWN))


@pytest.mark.parametrize("effects", [[True], [False], [False, True], [False, False]])
@pytest.mark.parametrize("exists", [True, False])
def test_lost_answer_is_resolved_by_reading_again(world, effects, exists):
    """Guards against a write reported as failed although it took effect."""
    platform, url, _ = world
    version = platform.put(KIND, "d", b"old") if exists else 0
    lossy = LossyPlatform(HttpPlatform(url), effects)
    result = write_document(lossy, "d", b"new", version, pause=lambda _: None)
    stored = HttpPlatform(url).get(KIND, "d").unwrap()
    assert stored.value == b"new"
    assert result.unwrap() == stored.version == version + 1


def test_lost_answer_and_another_write_is_reported_as_uncertain(world):
    platform, url, _ = world
    version = platform.put(KIND, "d", b"old")

    class Race(LossyPlatform):
        def _lose(self, call, args):
            result = super()._lose(call, args)
            platform.put(KIND, "d", b"theirs")
            return result

    result = write_document(
        Race(HttpPlatform(url), [True]), "d", b"new", version, pause=lambda _: None
    )
    assert "may have been replaced" in result.unwrap_err()
    assert f"version {version + 2} is there" in result.unwrap_err()


def test_platform_down_is_not_called_a_conflict():
    result = write_document(
        HttpPlatform("http://127.0.0.1:9"), "d", b"x", 3, pause=lambda _: None
    )
    assert "cannot be reached" in result.unwrap_err()


def test_status_text(snapshot):
    statuses = [
        _status("h1", leases=(LeaseStatus("pool/order-desk", "h1", 3, 7.5),)),
        _status(
            "h2",
            3,
            ready=False,
            configuration_age_s=None,
            documents=(DocumentStatus("order-desk", 3, 4, ("regions: above 1",)),),
            members=(MemberStatus("h1", "rajkot-a", "suspect"),),
            findings=("host.listen: expected IP:port",),
        ),
    ]
    assert format_status(statuses, ["10.0.0.9:1: no answer"]) == snapshot


def test_two_holders_of_a_lease_are_named():
    lease = LeaseStatus("pool/order-desk", "h1", 3, 7.5)
    text = format_status([_status(n, leases=(lease,)) for n in ("h1", "h2")], [])
    assert "MORE THAN ONE HOLDER" in text


def test_status_by_request_and_with_a_missing_host(world, capsys):
    _, url, host = world
    host.ring.add(DecisionKind.REFUSAL, "queue-full", NOW, "h&1.ab.7", {"waiting": 400})
    assert _run(Status, "--platform", url, "--request", "h&1.ab.7") == 0
    assert "5.0 s ago: refusal: queue-full waiting=400" in capsys.readouterr().out
    assert _run(Status, host.address, "127.0.0.1:9") == 1
    assert "127.0.0.1:9: no answer" in capsys.readouterr().out


def test_status_of_another_release_is_read():
    """Guards against an upgrade in which one command cannot read all hosts."""
    body = encode_status(_status("h1"))
    newer = body[:-1] + b',"field_of_a_later_release":1}'
    assert decode_status(newer).unwrap() == _status("h1")
    assert decode_status(b'{"host":"h1","data_centre":"a"}').is_ok()
    assert decode_status(b"<html>").is_err()


@pytest.mark.parametrize("form", ["text", "json", "html"])
def test_report_in_each_form(world, form, capsys):
    _, url, _ = world
    assert _run(Report, "--platform", url, "--format", form) == 1  # it has alerts
    assert "repair-shop" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("command", "args", "message"),
    [
        (Status, [], "give status addresses"),
        (Status, ["nowhere"], "expected IP:PORT"),
        (Report, ["--window", "2h", "127.0.0.1:9"], "Invalid choice"),
        (Put, ["missing.toml", "--platform", "http://127.0.0.1:9"], "No such file"),
        (Get, ["order-desk", "--platform", "127.0.0.1:9"], "expected http://"),
    ],
)
def test_wrong_usage_exits_with_2(command, args, message, capsys):
    assert _run(command, *args) == 2
    assert message in " ".join(capsys.readouterr().err.split())
