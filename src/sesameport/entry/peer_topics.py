"""Define the topics of the messages between hosts, and encode the messages.

A topic begins with one byte for the kind of its messages. New kinds get a byte of their
own, so that hosts of an older build do not receive them.
"""

import msgspec

from sesameport.entry.host_messages import (
    AppliedRevisions,
    ColdReports,
    EvacuationReport,
    FleetSnapshot,
    HostReport,
    NoticeReports,
    PermitReply,
    PermitRequest,
    PrefixReports,
    RemovedServers,
    RetryReport,
    SpeedReports,
    SuspectReports,
)
from sesameport.entry.report_codec import (
    decode_cold,
    decode_evacuations,
    decode_notices,
    decode_permits,
    decode_prefixes,
    decode_removed,
    decode_retries,
    decode_revisions,
    decode_speeds,
    decode_suspect_groups,
    decode_suspects,
    encode_cold,
    encode_evacuations,
    encode_notices,
    encode_permits,
    encode_prefixes,
    encode_removed,
    encode_report,
    encode_retries,
    encode_revisions,
    encode_speeds,
    encode_suspect_groups,
    encode_suspects,
)

__all__ = [
    "ANNOUNCEMENT",
    "COLD_PERMITS",
    "DECODERS",
    "PARTIAL_REPORT",
    "PERMITS",
    "PublishedMessage",
    "REPORT",
    "SHARED_TOPICS",
    "SNAPSHOT",
    "encode_message",
    "permit_topic",
]

PublishedMessage = (
    HostReport
    | FleetSnapshot
    | SuspectReports
    | NoticeReports
    | EvacuationReport
    | ColdReports
    | SpeedReports
    | PrefixReports
    | RetryReport
    | AppliedRevisions
    | RemovedServers
    | PermitRequest
    | PermitReply
)
"""Messages that a host publishes."""

REPORT = b"r"
PARTIAL_REPORT = b"p"
SNAPSHOT = b"s"
ANNOUNCEMENT = b"h"
PERMITS = b"g"
"""First byte of the topics of single hosts; see `permit_topic`."""
COLD_PERMITS = b"k"
"""First byte of the topics of single hosts about permits for cold servers."""
_SUSPECTS = b"c"
_SUSPECT_GROUPS = b"f"
_NOTICES = b"n"
_EVACUATIONS = b"e"
_COLD = b"w"
_SPEEDS = b"v"
_PREFIXES = b"x"
_RETRIES = b"b"
_REVISIONS = b"a"
_REMOVED = b"d"

_ENCODERS = {
    SuspectReports: (_SUSPECTS, encode_suspects),
    NoticeReports: (_NOTICES, encode_notices),
    EvacuationReport: (_EVACUATIONS, encode_evacuations),
    ColdReports: (_COLD, encode_cold),
    SpeedReports: (_SPEEDS, encode_speeds),
    PrefixReports: (_PREFIXES, encode_prefixes),
    RetryReport: (_RETRIES, encode_retries),
    AppliedRevisions: (_REVISIONS, encode_revisions),
    RemovedServers: (_REMOVED, encode_removed),
}

DECODERS = {
    _SUSPECTS: decode_suspects,
    _SUSPECT_GROUPS: decode_suspect_groups,
    _NOTICES: decode_notices,
    _EVACUATIONS: decode_evacuations,
    _COLD: decode_cold,
    _SPEEDS: decode_speeds,
    _PREFIXES: decode_prefixes,
    _RETRIES: decode_retries,
    _REVISIONS: decode_revisions,
    _REMOVED: decode_removed,
    PERMITS: decode_permits,
    COLD_PERMITS: decode_permits,
}
"""Decoders by the first byte of the topic; reports and snapshots are not among them."""

SHARED_TOPICS = (
    REPORT,
    PARTIAL_REPORT,
    *(topic for topic, _ in _ENCODERS.values()),
    _SUSPECT_GROUPS,
)
"""Topics that every host subscribes to."""


def encode_message(message: PublishedMessage) -> list[bytes]:
    """Return the topic and the encoding of a message."""
    if isinstance(message, SuspectReports) and not message.is_short():
        return [_SUSPECT_GROUPS, encode_suspect_groups(message)]
    encoder = _ENCODERS.get(type(message))
    if encoder is not None:
        topic, encode = encoder
        return [topic, encode(message)]
    if isinstance(message, PermitRequest | PermitReply):
        first = COLD_PERMITS if message.ask_id else PERMITS
        return [permit_topic(message.to_host, first), encode_permits(message)]
    if isinstance(message, HostReport):
        topic = REPORT if message.is_complete else PARTIAL_REPORT
        return [topic, encode_report(message)]
    return [SNAPSHOT, msgspec.msgpack.encode(message)]


def permit_topic(host: str, first: bytes) -> bytes:
    """Return the topic of one host; subscriptions match by prefix, so it has an end."""
    return first + host.encode() + b"\0"
