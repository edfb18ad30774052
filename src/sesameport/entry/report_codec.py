"""Encode the reports of hosts as MessagePack arrays without field names.

Each report is sent to every other host, so its size is multiplied by the number of
hosts.
"""

import functools

import attrs
import msgspec
from result import Err, Ok, Result

from sesameport.admission import (
    ColdReport,
    NoticeReport,
    PrefixReport,
    ServerUse,
    SpeedMeasure,
    SpeedReport,
    SuspectGroup,
    WaitingTokens,
)
from sesameport.entry.host_messages import (
    AppliedRevisions,
    ColdReports,
    EvacuationReport,
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
from sesameport.entry.server_notices import ServerNotice

__all__ = [
    "decode_cold",
    "decode_evacuations",
    "decode_notices",
    "decode_permits",
    "decode_prefixes",
    "decode_report",
    "decode_removed",
    "decode_retries",
    "decode_revisions",
    "decode_speeds",
    "decode_suspect_groups",
    "decode_suspects",
    "encode_cold",
    "encode_evacuations",
    "encode_notices",
    "encode_permits",
    "encode_prefixes",
    "encode_report",
    "encode_removed",
    "encode_retries",
    "encode_revisions",
    "encode_speeds",
    "encode_suspect_groups",
    "encode_suspects",
]

REVISION_COUNT = 3
"""Number of revisions in `AppliedRevisions`."""

_Use = tuple[int, int, int, int]
_Waiting = tuple[int, int]
_Suspect = tuple[str, dict[str, bool], int]
_SuspectGroups = tuple[bool, list[tuple[tuple[str, ...], dict[str, bool], int]]]
_Notice = tuple[str, int, float | None, bool, float]
_Cold = tuple[str, int, float, float]
_Evacuations = tuple[str, tuple[str, ...]]
_Revisions = tuple[str, tuple[int, ...]]
_Removed = tuple[str, int, tuple[tuple[str, int], ...]]
_Speed = tuple[str, int, int, int, int, int, bool]
_Prefix = tuple[str, int, tuple[int, ...], int]
_PermitRequest = tuple[str, str, str, float, int, int]
_PermitReply = tuple[str, str, tuple[float, ...], float, float]
_ColdPermitRequest = tuple[str, str, str, float, int, int, int]
_ColdPermitReply = tuple[str, str, tuple[float, ...], float, float, int]
_Report = tuple[
    str,
    int,
    int,
    dict[str, _Use],
    dict[str, int],
    int,
    dict[str, float],
    dict[str, _Waiting],
    list[str],
]

# A decoder that is built for each message costs more than the decoding itself.
_REPORT = msgspec.msgpack.Decoder(_Report)
_SUSPECTS = msgspec.msgpack.Decoder(list[_Suspect])
_SUSPECT_GROUPS = msgspec.msgpack.Decoder(_SuspectGroups)
_NOTICES = msgspec.msgpack.Decoder(list[_Notice])
_RETRIES = msgspec.msgpack.Decoder(tuple[str, dict[str, int]])
_COLD = msgspec.msgpack.Decoder(list[_Cold])
_EVACUATIONS = msgspec.msgpack.Decoder(_Evacuations)
_REVISIONS = msgspec.msgpack.Decoder(_Revisions)
_REMOVED = msgspec.msgpack.Decoder(_Removed)
_SPEEDS = msgspec.msgpack.Decoder(list[_Speed])
_PREFIXES = msgspec.msgpack.Decoder(list[_Prefix])
_PERMIT_KINDS = (
    (msgspec.msgpack.Decoder(_PermitRequest), PermitRequest),
    (msgspec.msgpack.Decoder(_PermitReply), PermitReply),
    (msgspec.msgpack.Decoder(_ColdPermitRequest), PermitRequest),
    (msgspec.msgpack.Decoder(_ColdPermitReply), PermitReply),
)

_server_use = functools.lru_cache(maxsize=4_096)(ServerUse)
"""Return a `ServerUse`, the same object for the same fields. Most uses in a report were
in the one before it; this holds 21 servers of each of 195 hosts."""


def encode_report(report: HostReport) -> bytes:
    """Return a report as MessagePack, with token counts rounded to integers."""
    uses = {
        name: (
            round(use.kv_tokens),
            use.active_requests,
            round(use.prefill_tokens),
            round(use.pending_kv_tokens),
        )
        for name, use in report.uses.items()
    }
    waiting = {
        name: (round(tokens.on_time), round(tokens.late))
        for name, tokens in report.waiting.items()
    }
    charged = {name: round(tokens) for name, tokens in report.charged.items()}
    return msgspec.msgpack.encode(
        (
            report.host,
            report.incarnation,
            report.sequence,
            uses,
            charged,
            report.version,
            report.paused,
            waiting,
            report.unreachable,
        )
    )


def decode_report(data: bytes, is_complete: bool = True) -> Result[HostReport, str]:
    """Return the report that `encode_report` encoded, or an Err with the reason.

    Its topic, not its content, states whether it is complete.
    """
    try:
        fields = _REPORT.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))
    (
        host,
        incarnation,
        sequence,
        uses,
        charged,
        version,
        paused,
        waiting,
        unreachable,
    ) = fields
    return Ok(
        HostReport(
            host,
            incarnation,
            sequence,
            {name: _server_use(*use) for name, use in uses.items()},
            charged,
            version,
            paused,
            {name: WaitingTokens(*tokens) for name, tokens in waiting.items()},
            unreachable,
            is_complete,
        )
    )


def encode_suspects(message: SuspectReports) -> bytes:
    """Return a short report of suspects as MessagePack, as older builds know it."""
    return msgspec.msgpack.encode(
        [
            (subject, group.crashes, group.stored)
            for group in message.groups
            for subject in group.subjects
        ]
    )


def decode_suspects(data: bytes) -> Result[SuspectReports, str]:
    """Return what `encode_suspects` encoded, or an Err with the reason."""
    try:
        fields = _SUSPECTS.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))
    groups = [SuspectGroup((subject,), *rest) for subject, *rest in fields]
    return Ok(SuspectReports(tuple(groups)))


def encode_suspect_groups(message: SuspectReports) -> bytes:
    """Return a report of many suspects as MessagePack."""
    groups = [attrs.astuple(group, recurse=False) for group in message.groups]
    return msgspec.msgpack.encode((message.is_partial, groups))


def decode_suspect_groups(data: bytes) -> Result[SuspectReports, str]:
    """Return what `encode_suspect_groups` encoded, or an Err with the reason."""
    try:
        is_partial, fields = _SUSPECT_GROUPS.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))
    groups = tuple(SuspectGroup(*item) for item in fields)
    return Ok(SuspectReports(groups, is_partial))


def encode_notices(message: NoticeReports) -> bytes:
    """Return the notices of servers as MessagePack."""
    return msgspec.msgpack.encode(
        [
            (
                item.server,
                item.started_at_ms,
                item.notice.limit_per_s,
                item.notice.is_leaving,
                round(item.age_s, 3),
            )
            for item in message.reports
        ]
    )


def decode_notices(data: bytes) -> Result[NoticeReports, str]:
    """Return what `encode_notices` encoded, or an Err with the reason."""
    try:
        fields = _NOTICES.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))
    return Ok(
        NoticeReports(
            tuple(
                NoticeReport(
                    server, started_at_ms, ServerNotice(limit, is_leaving), age_s
                )
                for server, started_at_ms, limit, is_leaving, age_s in fields
            )
        )
    )


def encode_retries(message: RetryReport) -> bytes:
    """Return the retries that a host took from the pool as MessagePack."""
    return msgspec.msgpack.encode((message.host, message.taken))


def decode_retries(data: bytes) -> Result[RetryReport, str]:
    """Return what `encode_retries` encoded, or an Err with the reason."""
    try:
        fields = _RETRIES.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))
    return Ok(RetryReport(*fields))


def encode_cold(message: ColdReports) -> bytes:
    """Return reports of cold servers as MessagePack."""
    return msgspec.msgpack.encode(
        [
            (
                item.server,
                item.started_at_ms,
                round(item.remaining_s, 3),
                round(item.age_s, 3),
            )
            for item in message.reports
        ]
    )


def decode_cold(data: bytes) -> Result[ColdReports, str]:
    """Return what `encode_cold` encoded, or an Err with the reason."""
    try:
        fields = _COLD.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))
    return Ok(ColdReports(tuple(ColdReport(*item) for item in fields)))


def encode_evacuations(message: EvacuationReport) -> bytes:
    """Return the evacuated data centres as MessagePack."""
    return msgspec.msgpack.encode(attrs.astuple(message))


def decode_evacuations(data: bytes) -> Result[EvacuationReport, str]:
    """Return what `encode_evacuations` encoded, or an Err with the reason."""
    try:
        return Ok(EvacuationReport(*_EVACUATIONS.decode(data)))
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))


def encode_revisions(message: AppliedRevisions) -> bytes:
    """Return the revisions of the newest changes as MessagePack.

    The era, if there is one, follows the revisions. Older builds ignore it.
    """
    revisions = message.revisions
    if message.era:
        missing = REVISION_COUNT - len(revisions)
        revisions = (*revisions, *(0,) * missing, message.era)
    return msgspec.msgpack.encode((message.host, revisions))


def decode_revisions(data: bytes) -> Result[AppliedRevisions, str]:
    """Return what `encode_revisions` encoded, or an Err with the reason."""
    try:
        host, revisions = _REVISIONS.decode(data)
        era = revisions[REVISION_COUNT] if len(revisions) > REVISION_COUNT else 0
        return Ok(AppliedRevisions(host, revisions[:REVISION_COUNT], era))
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))


def encode_removed(message: RemovedServers) -> bytes:
    """Return the removed server entries as MessagePack."""
    return msgspec.msgpack.encode(attrs.astuple(message))


def decode_removed(data: bytes) -> Result[RemovedServers, str]:
    """Return what `encode_removed` encoded, or an Err with the reason."""
    try:
        return Ok(RemovedServers(*_REMOVED.decode(data)))
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))


def encode_speeds(message: SpeedReports) -> bytes:
    """Return samples of speeds as MessagePack.

    Logarithms are in thousandths, and ages in seconds.
    """
    measures = list(SpeedMeasure)
    return msgspec.msgpack.encode(
        [
            (
                item.server,
                item.started_at_ms,
                measures.index(item.measure),
                round(1_000 * item.log_seconds),
                item.count,
                round(item.age_s),
                item.is_summary,
            )
            for item in message.reports
        ]
    )


def decode_speeds(data: bytes) -> Result[SpeedReports, str]:
    """Return what `encode_speeds` encoded, or an Err with the reason.

    Samples of a measure that this build does not know are left out.
    """
    try:
        fields = _SPEEDS.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))
    measures, reports = list(SpeedMeasure), []
    for server, started_at_ms, measure, log_ms, count, age_s, is_summary in fields:
        if not 0 <= measure < len(measures) or count <= 0:
            continue
        reports.append(
            SpeedReport(
                server,
                started_at_ms,
                measures[measure],
                log_ms / 1_000,
                count,
                max(0, age_s),
                is_summary,
            )
        )
    return Ok(SpeedReports(tuple(reports)))


def encode_prefixes(message: PrefixReports) -> bytes:
    """Return cached parts as MessagePack, with ages in seconds."""
    return msgspec.msgpack.encode(
        [
            (item.server, item.started_at_ms, item.digests, round(item.age_s))
            for item in message.reports
        ]
    )


def decode_prefixes(data: bytes) -> Result[PrefixReports, str]:
    """Return what `encode_prefixes` encoded, or an Err with the reason."""
    try:
        fields = _PREFIXES.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))
    return Ok(
        PrefixReports(
            tuple(
                PrefixReport(server, started_at_ms, digests, max(0, age_s))
                for server, started_at_ms, digests, age_s in fields
            )
        )
    )


def encode_permits(message: PermitRequest | PermitReply) -> bytes:
    """Return a message about permits as MessagePack.

    Older hosts do not know ``ask_id``, so it is encoded only if it is set.
    """
    fields = attrs.astuple(message)
    return msgspec.msgpack.encode(fields if message.ask_id else fields[:-1])


def decode_permits(data: bytes) -> Result[PermitRequest | PermitReply, str]:
    """Return what `encode_permits` encoded, or an Err with the reason."""
    for decoder, kind in _PERMIT_KINDS:
        try:
            return Ok(kind(*decoder.decode(data)))
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            reason = str(exc)
    return Err(reason)
