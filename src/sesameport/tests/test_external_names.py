"""Keep every name that leaves the process as older builds and operators know it.

Each test compares names or encoded bytes with a snapshot. A failure means that a rename
changed what is encoded; the attribute then needs an explicit outer name.
"""

import ast
import importlib
import pathlib
import pkgutil
import typing
from enum import Enum

import attrs
import cappa
import msgspec
import pytest

import sesameport
from sesameport.adapters.peer_codec import PeerCodec
from sesameport.admission import (
    PrefixReport,
    ServerUse,
    SpeedMeasure,
    SpeedReport,
    WaitingTokens,
)
from sesameport.admission.order_lease import OrderRecord, encode_record
from sesameport.admission.order_lease import decode_record as decode_order_record
from sesameport.bench.measures import Measures
from sesameport.commands import Sesameport
from sesameport.daemon.fleet.fleet_handle import (
    CONFIGURATION_MESSAGES,
    MEMBERSHIP_MESSAGES,
)
from sesameport.documents.settings import Settings
from sesameport.domain import Host, RefusalType, ServiceDocument
from sesameport.entry import report_codec
from sesameport.entry.messages import FleetSnapshot, HostReport
from sesameport.entry.messages import PrefixReports as Prefixes
from sesameport.entry.messages import SpeedReports as Speeds
from sesameport.entry.report_codec import decode_report, encode_report
from sesameport.entry.settings import EntrySettings
from sesameport.fleet.leases import LeaseRecord, decode_lease, encode_lease
from sesameport.fleet.share_messages import (
    LotAsk,
    LotGrant,
    LotReturn,
    StandingAsk,
    StandingGrant,
)
from sesameport.fleet.standing_records import _StoredShare, _to_plain
from sesameport.interfaces import HostList, Order, Sender
from sesameport.requests.claim_entries import (
    CLAIM_KIND,
    ClaimEntry,
    ClaimOutcome,
    claim_digest,
    decode_entries,
    encode_entries,
    shard_name,
)
from sesameport.routing.quarantine import PoisonNotice
from sesameport.telemetry.burn import BurnSnapshot
from sesameport.telemetry.metrics import ENTRY_METRICS, METRICS
from sesameport.telemetry.report import FleetReport as GoodputReport
from sesameport.telemetry.status import HostStatus

SOURCE = pathlib.Path(sesameport.__file__).parent
PEER_MESSAGES = (
    *MEMBERSHIP_MESSAGES,
    *CONFIGURATION_MESSAGES,
    LotAsk,
    LotGrant,
    LotReturn,
    StandingAsk,
    StandingGrant,
    PoisonNotice,
)
METRIC_CALLS = {"count", "set", "observe"}


def shape(kind):
    """Return the encoded form of a type: field names, or positions, and their types."""
    return _shape(msgspec.inspect.type_info(kind))


def _shape(info):
    match info:
        case msgspec.inspect.NamedTupleType():
            return [_shape(field.type) for field in info.fields]
        case msgspec.inspect.StructType(array_like=True):
            return [_shape(field.type) for field in info.fields]
        case msgspec.inspect.DataclassType() | msgspec.inspect.StructType():
            return {field.encode_name: _shape(field.type) for field in info.fields}
        case msgspec.inspect.EnumType():
            return [member.value for member in info.cls]
        case msgspec.inspect.UnionType():
            return {"one of": [_shape(item) for item in info.types]}
        case msgspec.inspect.TupleType():
            return [_shape(item) for item in info.item_types]
        case msgspec.inspect.DictType():
            return {"keys": _shape(info.key_type), "values": _shape(info.value_type)}
        case _ if hasattr(info, "item_type"):
            return {"many": _shape(info.item_type)}
    return type(info).__name__.removesuffix("Type").lower()


def modules():
    """Return the syntax tree of every source file that is not a test."""
    for path in sorted(SOURCE.rglob("*.py")):
        if "tests" not in path.parts:
            yield path, ast.parse(path.read_text())


def example(kind):
    """Return an instance of a class whose fields hold empty or zero values."""
    hints = typing.get_type_hints(kind)
    return kind(
        **{
            field.name.lstrip("_"): _example_of(hints[field.name])
            for field in attrs.fields(kind)
            if field.default is attrs.NOTHING
        }
    )


def _example_of(hint):
    origin = typing.get_origin(hint) or hint
    return example(origin) if attrs.has(origin) else origin()


@pytest.mark.parametrize("kind", range(len(PEER_MESSAGES)))
def test_peer_messages(kind, snapshot):
    codec = PeerCodec(Sender("host", "incarnation", "data centre"))
    message = example(PEER_MESSAGES[kind])
    envelope = msgspec.msgpack.decode(codec.encode(message))
    codec.register(PEER_MESSAGES[kind])
    assert codec.decode(msgspec.msgpack.encode(envelope))[1] == message
    fields = list(msgspec.msgpack.decode(envelope[-1]))
    assert (envelope, fields, shape(PEER_MESSAGES[kind])) == snapshot


def test_reports_of_entry_hosts(snapshot):
    report = HostReport(
        "h1",
        7,
        3,
        {"s1": ServerUse(10.0, 2, 30.0, 4.0)},
        {"w1": 55.0},
        9,
        {"s2": 1.5},
        {"svc": WaitingTokens(60.0, 70.0)},
        ["s2"],
    )
    data = encode_report(report)
    assert decode_report(data).unwrap() == report
    assert (data.hex(), msgspec.msgpack.decode(data)) == snapshot


def test_learned_reports_of_entry_hosts(snapshot):
    last = -2.5, 3, 4.0, True
    speeds = Speeds(tuple(SpeedReport("s1", 7, item, *last) for item in SpeedMeasure))
    prefixes = Prefixes((PrefixReport("s1", 7, (5, 2**64 - 1), 4.0),))
    data = report_codec.encode_speeds(speeds), report_codec.encode_prefixes(prefixes)
    assert report_codec.decode_speeds(data[0]).unwrap() == speeds
    assert report_codec.decode_prefixes(data[1]).unwrap() == prefixes
    assert [(item.hex(), msgspec.msgpack.decode(item)) for item in data] == snapshot


@pytest.mark.parametrize(
    "kind",
    [
        FleetSnapshot,
        LeaseRecord,
        OrderRecord,
        ClaimEntry,
        HostStatus,
        BurnSnapshot,
        GoodputReport,
        Settings,
        EntrySettings,
        ServiceDocument,
        HostList,
        Host,
        Order,
        Measures,
    ],
    ids=lambda kind: f"{kind.__module__.split('.')[1]}-{kind.__name__}",
)
def test_fields(kind, snapshot):
    assert shape(kind) == snapshot(name=kind.__name__)


def test_stored_records(snapshot):
    lease = LeaseRecord("h1", "i1", 4, 10.0, "n1", True, "text")
    order = OrderRecord("h1", 5, "s1", "decode", 12.5)
    entries = {
        claim_digest("w1", "k1"): ClaimEntry(
            b"digest", "h1.i1", "n1", 99.0, ClaimOutcome("ran", 200, (("a", "b"),))
        )
    }
    stored = {
        "lease": encode_lease(lease),
        "order": encode_record(order),
        "claims": encode_entries(entries).hex(),
        "claim kind": CLAIM_KIND,
        "claim shard": shard_name("svc", claim_digest("w1", "k1"), 256),
        "standing": _to_plain((_StoredShare("h1", "i1", 500),), 2.5),
    }
    assert decode_lease(stored["lease"]) == lease
    assert decode_order_record(stored["order"]) == order
    assert decode_entries(bytes.fromhex(stored["claims"])) == entries
    assert stored == snapshot


def test_values_of_enums(snapshot):
    """Guards against a value that follows the new name of a member."""
    values = []
    for info in pkgutil.walk_packages([str(SOURCE)], "sesameport."):
        if "tests" in info.name.split(".") or info.name.endswith("__main__"):
            continue
        module = importlib.import_module(info.name)
        for found in vars(module).values():
            if (
                isinstance(found, type)
                and issubclass(found, Enum)
                and found.__module__ == info.name
            ):
                values.append([member.value for member in found])
    assert sorted(values, key=repr) == snapshot


def test_refusals(snapshot):
    assert [item.value for item in RefusalType] == snapshot


def test_metrics(snapshot):
    found = [
        (item.name, item.collector.__name__, item.labels, item.buckets)
        for item in (*METRICS, *ENTRY_METRICS)
    ]
    assert found == snapshot


def test_labels_at_calls_are_those_of_the_definition():
    """Guards against a renamed keyword argument that is the label of a metric."""
    labels = {item.name: sorted(item.labels) for item in (*METRICS, *ENTRY_METRICS)}
    checked = 0
    for path, tree in modules():
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call) or not isinstance(
                node.func, ast.Attribute
            ):
                continue
            if node.func.attr not in METRIC_CALLS or not node.args:
                continue
            name = getattr(node.args[0], "value", None)
            if name not in labels:
                continue
            given = sorted(item.arg for item in node.keywords if item.arg != "amount")
            assert given == labels[name], f"{path}:{node.lineno}"
            checked += 1
    assert checked >= 15  # the search still finds the calls


def test_keys_of_log_lines(snapshot):
    keys, channels = set(), set()
    for _, tree in modules():
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            if ast.unparse(node.func) in ("get_logger", "logbook.Logger"):
                channels.add(ast.unparse(node.args[0]))
            for keyword in node.keywords:
                if keyword.arg == "extra" and isinstance(keyword.value, ast.Dict):
                    keys.update(ast.unparse(key) for key in keyword.value.keys if key)
    assert (sorted(keys), sorted(channels)) == snapshot


def test_keys_of_decision_records(snapshot):
    keys = set()
    for _, tree in modules():
        for node in ast.walk(tree):
            match node:
                case ast.Assign(targets=[ast.Name("inputs")], value=ast.Dict(found)):
                    keys.update(ast.unparse(key) for key in found)
    assert sorted(keys) == snapshot


def test_commands_and_flags(snapshot):
    found = {}
    for command in _subcommands():
        arguments = cappa.collect(command).arguments
        found[cappa.collect(command).real_name()] = [
            (str(item.field_name), item.names(), str(item.value_name))
            for item in arguments
        ]
    assert found == snapshot


def _subcommands():
    hint = typing.get_type_hints(Sesameport, include_extras=True)["command"]
    union = typing.get_args(hint)[0] if typing.get_args(hint) else hint
    return typing.get_args(union) or (union,)
