"""Test put, get, status and report against a simulated platform and host."""

import cappa
import pytest
from cappa.testing import CommandRunner
from result import Err

from sesameport.adapters import HttpPlatform
from sesameport.commands.documents import (
    DOCUMENT_KIND,
    Get,
    Put,
    read_document,
    split_version_line,
    with_version_line,
    write_document,
)
from sesameport.commands.report import Report
from sesameport.commands.status import Status, format_status
from sesameport.domain import Host
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


class SimulatedHost:
    """Serve the status interface of a host that reads documents from the platform."""

    def __init__(self, platform: PlatformStandin, url: str, burn):
        self.ring = DecisionRing()
        self.has_no_document = False
        self._client = HttpPlatform(url)
        api = StatusApi(
            self._status, lambda: burn, Metrics("h1", "rajkot-a"), lambda: True
        )
        self.server = LoopbackServer(api, 4).start()
        self.address = self.server.address
        platform.set_hosts((Host("h1", "rajkot-a", status_address=self.address),), ())

    def _status(self, request_id: str) -> HostStatus:
        stored = read_document(self._client, "order-desk").unwrap()
        version = 0 if self.has_no_document or stored is None else stored.version
        decisions = self.ring.find(request_id) if request_id else []
        return _status("h1", version, decisions=tuple(decisions), now=NOW + 5)


@pytest.fixture
def deployment():
    platform = PlatformStandin()
    url = platform.start()
    host = SimulatedHost(platform, url, make_fleet_snapshots(1)[0])
    yield platform, url, host
    host.server.stop()
    platform.stop()


def _run(command, *args) -> int:
    try:
        return CommandRunner(command).invoke(*args) or 0
    except cappa.Exit as exc:
        return exc.code


def test_document_edited_after_get_is_in_force_after_put(deployment, tmp_path, capsys):
    platform, url, _ = deployment
    file = tmp_path / "order-desk.toml"
    file.write_text(TEXT)
    assert _run(Put, str(file), "--platform", url) == 0
    assert _run(Get, "order-desk", "--platform", url, "--output", str(file)) == 0
    version, body = split_version_line(file.read_text())
    assert body == TEXT
    file.write_text(file.read_text() + "# a note\n")
    assert _run(Put, str(file), "--platform", url) == 0
    assert f"version {version + 1} in force" in capsys.readouterr().out
    stored = HttpPlatform(url).get(DOCUMENT_KIND, "order-desk").unwrap()
    assert stored.value == (TEXT + "# a note\n").encode()


def test_put_after_another_edit_reports_the_stored_version(
    deployment, tmp_path, capsys
):
    """Guards against silently overwriting an edit made between get and put."""
    platform, url, _ = deployment
    first = platform.put(DOCUMENT_KIND, "order-desk", TEXT.encode())
    mine = tmp_path / "mine.toml"
    mine.write_text(with_version_line(TEXT, first))
    theirs = platform.put(DOCUMENT_KIND, "order-desk", (TEXT + "# theirs\n").encode())
    assert _run(Put, str(mine), "--platform", url) == 1
    assert f"found version {theirs}; not written" in capsys.readouterr().err
    mine.write_text(TEXT)  # without a version line, put may only create
    assert _run(Put, str(mine), "--platform", url) == 1
    assert f"found version {theirs}; not written" in capsys.readouterr().err
    stored = HttpPlatform(url).get(DOCUMENT_KIND, "order-desk").unwrap()
    assert stored.value.endswith(b"# theirs\n")


def test_put_with_findings_writes_nothing(deployment, tmp_path, capsys):
    platform, url, _ = deployment
    file = tmp_path / "bad.toml"
    file.write_text(TEXT + "\nunknown_field = 1\n" + "[targets]\nshare = 2.0\n")
    before = platform.calls["PUT"]
    assert _run(Put, str(file), "--platform", url) == 1
    assert "not written" in capsys.readouterr().err
    assert platform.calls["PUT"] == before


def test_raising_one_region_while_lowering_another_is_a_finding(
    deployment, tmp_path, capsys
):
    """Guards against a quota above 100 % (invariant I4).

    Two regions put a version in force at different times. Until both have it, the
    raised share and the share that is not lowered yet add up to more than the whole.
    """
    platform, url, _ = deployment
    base = TEXT.split("[[regions]]")[0]
    regions = '[[regions]]\nname = "a"\nshare = {}\n[[regions]]\nname = "b"\nshare = {}'
    version = platform.put(
        DOCUMENT_KIND, "order-desk", (base + regions.format(0.5, 0.5)).encode()
    )
    file = tmp_path / "moved.toml"
    file.write_text(with_version_line(base + regions.format(0.6, 0.4), version))
    assert _run(Put, str(file), "--platform", url) == 1
    assert "lower the other share first" in capsys.readouterr().err


def test_put_lists_hosts_where_the_version_is_not_in_force(
    deployment, tmp_path, capsys
):
    _, url, host = deployment
    host.has_no_document = True
    file = tmp_path / "d.toml"
    file.write_text(TEXT)
    assert _run(Put, str(file), "--platform", url, "--wait", "0.6") == 1
    assert "h1: none in force" in capsys.readouterr().out


class LossyPlatform:
    """Lose the responses to the first writes.

    Each entry of `effects` says whether the write itself is carried out.
    """

    def __init__(self, inner, effects):
        self.inner, self.effects = inner, list(effects)

    def __getattr__(self, name):
        return getattr(self.inner, name)

    def update(self, *args):
        return self._lose_response(self.inner.update, args)

    def create(self, *args):
        return self._lose_response(self.inner.create, args)

    def _lose_response(self, call, args):
        if not self.effects:
            return call(*args)
        if self.effects.pop(0):
            call(*args)
        return Err(PlatformError(PlatformErrorKind.UNKNOWN))


@pytest.mark.parametrize("effects", [[True], [False], [False, True], [False, False]])
@pytest.mark.parametrize("exists", [True, False])
def test_write_outcome_is_read_back_after_a_lost_response(deployment, effects, exists):
    """Guards against reporting a write as failed although it took effect."""
    platform, url, _ = deployment
    version = platform.put(DOCUMENT_KIND, "d", b"old") if exists else 0
    lossy = LossyPlatform(HttpPlatform(url), effects)
    result = write_document(lossy, "d", b"new", version, sleep=lambda _: None)
    stored = HttpPlatform(url).get(DOCUMENT_KIND, "d").unwrap()
    assert stored.value == b"new"
    assert result.unwrap() == stored.version == version + 1


def test_overwrite_after_a_lost_response_is_reported_as_uncertain(deployment):
    platform, url, _ = deployment
    version = platform.put(DOCUMENT_KIND, "d", b"old")

    class OverwritingPlatform(LossyPlatform):
        def _lose_response(self, call, args):
            result = super()._lose_response(call, args)
            platform.put(DOCUMENT_KIND, "d", b"theirs")
            return result

    result = write_document(
        OverwritingPlatform(HttpPlatform(url), [True]),
        "d",
        b"new",
        version,
        sleep=lambda _: None,
    )
    assert "may have been replaced" in result.unwrap_err()
    assert f"found version {version + 2}; the response was lost" in result.unwrap_err()


def test_unreachable_platform_is_not_reported_as_a_conflict():
    result = write_document(
        HttpPlatform("http://127.0.0.1:9"), "d", b"x", 3, sleep=lambda _: None
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


def test_status_warns_of_two_holders_of_a_lease():
    lease = LeaseStatus("pool/order-desk", "h1", 3, 7.5)
    text = format_status([_status(n, leases=(lease,)) for n in ("h1", "h2")], [])
    assert "MORE THAN ONE HOLDER" in text


def test_status_of_a_request_and_of_an_unreachable_host(deployment, capsys):
    _, url, host = deployment
    host.ring.add(DecisionKind.REFUSAL, "queue-full", NOW, "h&1.ab.7", {"waiting": 400})
    assert _run(Status, "--platform", url, "--request", "h&1.ab.7") == 0
    assert "5.0 s ago: refusal: queue-full waiting=400" in capsys.readouterr().out
    assert _run(Status, host.address, "127.0.0.1:9") == 1
    assert "127.0.0.1:9: no answer" in capsys.readouterr().out


def test_status_of_an_older_or_newer_release_is_decoded():
    """Guards against a status command that fails while hosts run different releases."""
    body = encode_status(_status("h1"))
    newer = body[:-1] + b',"field_of_a_later_release":1}'
    assert decode_status(newer).unwrap() == _status("h1")
    assert decode_status(b'{"host":"h1","data_centre":"a"}').is_ok()
    assert decode_status(b"<html>").is_err()


@pytest.mark.parametrize("report_format", ["text", "json", "html"])
def test_report_in_each_format(deployment, report_format, capsys):
    _, url, _ = deployment
    # Exit code 1: the sample counts raise alerts.
    assert _run(Report, "--platform", url, "--format", report_format) == 1
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
