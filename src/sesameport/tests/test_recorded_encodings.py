"""Read bytes that an older build encoded and write the same bytes again.

``recorded/encoded_by_3141af3.json`` holds one example of each message between hosts, of
each stored record and of each status page, with every field set. Guards against a
rename that changes an encoding together with the snapshot of its names.
"""

import json
import pathlib
import zlib

import msgspec
import pytest

from sesameport.adapters.peer_codec import PeerCodec
from sesameport.admission.order_lease import decode_record, encode_record
from sesameport.entry.messages import FleetSnapshot
from sesameport.entry.report_codec import decode_report, encode_report
from sesameport.fleet.leases import decode_lease, encode_lease
from sesameport.fleet.standing_records import _decode_body, _to_plain
from sesameport.interfaces import Sender
from sesameport.requests.claim_entries import decode_entries, encode_entries
from sesameport.telemetry.burn import BurnSnapshot
from sesameport.telemetry.status import decode_status, encode_status
from sesameport.tests.test_external_names import PEER_MESSAGES

RECORDED = json.loads(
    (pathlib.Path(__file__).parent / "recorded/encoded_by_3141af3.json").read_text()
)
ADDED_FIELDS = {
    "allowed_regions",
    "cold_per_s",
    "cold_remaining_s",
    "cold_start_s",
    "evacuated",
    "evacuated_age_s",
    "max_lease_s",
}
"""Fields of snapshots that the recorded build did not have."""

PEER_KINDS = sorted(name for name in RECORDED if name.startswith("peer "))


def test_all_kinds_of_peer_messages_are_recorded():
    assert len(PEER_KINDS) == len(PEER_MESSAGES)


@pytest.mark.parametrize("name", PEER_KINDS)
def test_peer_message_of_an_older_build(name):
    codec = PeerCodec(Sender("host", "incarnation", "data centre"))
    for kind in PEER_MESSAGES:
        codec.register(kind)
    data = bytes.fromhex(RECORDED[name])
    sender, message = codec.decode(data)
    assert sender == Sender("host", "incarnation", "data centre")
    *_, is_compressed, payload = msgspec.msgpack.decode(data)
    if is_compressed:
        payload = zlib.decompress(payload)
    assert msgspec.msgpack.encode(message) == payload
    assert msgspec.msgpack.decode(codec.encode(message))[0] == name.removeprefix(
        "peer "
    )


def test_reports_and_snapshots_of_older_entry_hosts():
    data = bytes.fromhex(RECORDED["entry report"])
    assert encode_report(decode_report(data).unwrap()) == data
    data = bytes.fromhex(RECORDED["entry snapshot"])
    snapshot = msgspec.msgpack.decode(data, type=FleetSnapshot)
    assert snapshot.configuration.workspaces[0].name == "text"
    assert (snapshot.evacuated, snapshot.evacuated_age_s) == (None, 0.0)
    # Hosts ignore fields that they do not know. Without the fields that were added
    # later, the encoding is that of the older build, byte for byte.
    encoded = msgspec.msgpack.decode(msgspec.msgpack.encode(snapshot))
    assert msgspec.msgpack.encode(_without(encoded, ADDED_FIELDS)) == data
    newer = {**msgspec.msgpack.decode(data), "added later": 1}
    newer = msgspec.msgpack.encode(newer)
    assert msgspec.msgpack.decode(newer, type=FleetSnapshot) == snapshot


def _without(value, names):
    if isinstance(value, dict):
        return {
            name: _without(item, names)
            for name, item in value.items()
            if name not in names
        }
    return [_without(item, names) for item in value] if type(value) is list else value


def test_records_that_an_older_build_stored():
    lease = RECORDED["lease"].encode()
    assert encode_lease(decode_lease(lease)) == lease
    order = RECORDED["role order"].encode()
    assert encode_record(decode_record(order)) == order
    claims = bytes.fromhex(RECORDED["claims"])
    assert encode_entries(decode_entries(claims)) == claims
    body = RECORDED["standing shares"]
    stored = _decode_body(body)
    assert (
        msgspec.json.encode(_to_plain(stored.standing, stored.lots_left_s)).decode()
        == body
    )


def test_status_pages_of_older_hosts():
    status = RECORDED["status"].encode()
    assert encode_status(decode_status(status).unwrap()) == status
    burn = RECORDED["burn"].encode()
    assert msgspec.json.encode(msgspec.json.decode(burn, type=BurnSnapshot)) == burn
