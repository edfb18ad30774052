"""Show what hosts know, hold and decided."""

import sys
from collections import Counter, defaultdict
from typing import Annotated
from urllib.parse import quote

import attrs
import cappa
import msgspec

from sesameport.commands.fetch import fetch_all, find_addresses
from sesameport.telemetry.status import HostStatus, decode_status

__all__ = ["Status", "fetch_status", "format_status"]

_SHARES_SHOWN = 20
_INDENT = "  "


def fetch_status(
    addresses: list[str], request_id: str = ""
) -> tuple[list[HostStatus], list[str]]:
    """Fetch the status of hosts.

    Returns
    -------
    statuses : list of HostStatus
        What the hosts answered, by data centre and host.
    missing : list of str
        Addresses without a usable answer, each with the reason.
    """
    query = f"?request={quote(request_id, safe='')}" if request_id else ""
    statuses, missing = [], []
    for answer in fetch_all(addresses, f"/status{query}"):
        result = answer.result.and_then(decode_status)
        if result.is_err():
            missing.append(f"{answer.address}: {result.unwrap_err()}")
            continue
        statuses.append(result.unwrap())
    statuses.sort(key=lambda item: (item.data_centre, item.host))
    return statuses, missing


def format_status(statuses: list[HostStatus], missing: list[str]) -> str:
    """Return the status of a fleet as text."""
    lines = [f"{len(statuses)} hosts answered, {len(missing)} did not"]
    lines += [f"{_INDENT}no answer: {text}" for text in missing]
    sections = (
        ("hosts", _host_lines),
        ("documents", _document_lines),
        ("members", _member_lines),
        ("leases", _lease_lines),
        ("shares (tokens, all hosts)", _share_lines),
        ("holds", _hold_lines),
        ("findings", _finding_lines),
    )
    for title, make in sections:
        found = make(statuses) or ["none"]
        lines += ["", title, *[_INDENT + line for line in found]]
    return "\n".join(lines) + "\n"


def format_decisions(statuses: list[HostStatus], request_id: str) -> str:
    """Return the decision records of one request as text."""
    lines = [f"decisions on request {request_id}"]
    for status in statuses:
        for item in status.decisions:
            inputs = " ".join(f"{name}={value}" for name, value in item.inputs.items())
            age_s = status.now - item.at
            lines.append(
                f"{_INDENT}{status.host} #{item.sequence}, {age_s:.1f} s ago: "
                f"{item.kind}: {item.reason} {inputs}".rstrip()
            )
    if len(lines) == 1:
        lines.append(f"{_INDENT}none kept (a host keeps the last 500 of each kind)")
    return "\n".join(lines) + "\n"


def _host_lines(statuses: list[HostStatus]) -> list[str]:
    lines = []
    for item in statuses:
        age = item.configuration_age_s
        lines.append(
            f"{item.host} in {item.data_centre}: "
            f"{'ready' if item.ready else 'not ready'}, up {item.uptime_s:.0f} s, "
            f"configuration age {'unknown' if age is None else f'{age:.1f} s'}, "
            f"platform {'reached' if item.platform_reachable else 'not reached'}, "
            f"{item.waiting} waiting, {item.in_flight} in flight"
        )
    return lines


def _document_lines(statuses: list[HostStatus]) -> list[str]:
    versions: dict[str, dict[str, list[str]]] = defaultdict(lambda: defaultdict(list))
    refused: dict[tuple[str, int], tuple[list[str], tuple[str, ...]]] = {}
    for status in statuses:
        for doc in status.documents:
            label = f"version {doc.version}" + (" (deleted)" if doc.deleted else "")
            versions[doc.name][label].append(status.host)
            if doc.refused_version:
                key = (doc.name, doc.refused_version)
                refused.setdefault(key, ([], doc.findings))[0].append(status.host)
    lines = []
    for name, found in sorted(versions.items()):
        if len(found) == 1:
            label, hosts = next(iter(found.items()))
            lines.append(f"{name}: {label} on all {len(hosts)} hosts that have it")
            continue
        lines.append(f"{name}: hosts differ")
        lines += [
            f"{_INDENT}{label} on {', '.join(hosts)}"
            for label, hosts in sorted(found.items())
        ]
    for (name, version), (hosts, findings) in sorted(refused.items()):
        lines.append(f"{name}: version {version} refused on {', '.join(hosts)}")
        lines += [f"{_INDENT}{text}" for text in findings]
    return lines


def _member_lines(statuses: list[HostStatus]) -> list[str]:
    views: dict[tuple[str, str], Counter] = defaultdict(Counter)
    for status in statuses:
        for member in status.members:
            views[member.data_centre, member.host][member.state] += 1
    lines = []
    for (data_centre, host), states in sorted(views.items()):
        if len(states) == 1:
            lines.append(f"{host} in {data_centre}: {next(iter(states))}")
            continue
        views_text = ", ".join(f"{state} to {n}" for state, n in states.most_common())
        lines.append(f"{host} in {data_centre}: hosts differ: {views_text}")
    return lines


def _lease_lines(statuses: list[HostStatus]) -> list[str]:
    newest = {}
    held = defaultdict(list)
    for status in statuses:
        for lease in status.leases:
            if lease.name not in newest or lease.epoch > newest[lease.name].epoch:
                newest[lease.name] = lease
            if lease.remaining_s is not None and lease.remaining_s > 0:
                held[lease.name].append((status.host, lease.remaining_s))
    lines = []
    for name, lease in sorted(newest.items()):
        text = f"{name}: epoch {lease.epoch}, holder {lease.holder or 'unknown'}"
        for host, remaining_s in held[name]:
            text += f", held by {host} for {remaining_s:.1f} s"
        if len(held[name]) > 1:
            text += ", MORE THAN ONE HOLDER"
        lines.append(text)
    return lines


def _share_lines(statuses: list[HostStatus]) -> list[str]:
    sums: dict[tuple[str, str], list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0])
    owners: dict[tuple[str, str], set[str]] = defaultdict(set)
    for status in statuses:
        for share in status.shares:
            key = (share.service, share.workspace)
            tokens = (share.standing_tokens, share.lot_tokens, share.lent_tokens)
            sums[key] = [a + b for a, b in zip(sums[key], tokens, strict=True)]
            if share.pool_owner:
                owners[key].add(share.pool_owner)
    lines = []
    for key in sorted(sums)[:_SHARES_SHOWN]:
        standing, lots, lent = sums[key]
        owner = ", ".join(sorted(owners[key])) or "unknown"
        lines.append(
            f"{key[0]}/{key[1] or '(open routes)'}: standing {standing:.0f}, "
            f"lots {lots:.0f}, lent {lent:.0f}, pool owner {owner}"
        )
    if len(sums) > _SHARES_SHOWN:
        lines.append(f"and {len(sums) - _SHARES_SHOWN} more; --json has all")
    return lines


def _hold_lines(statuses: list[HostStatus]) -> list[str]:
    counts: dict[tuple[str, str], list[float]] = defaultdict(lambda: [0, 0, 0.0])
    for status in statuses:
        for hold in status.holds:
            entry = counts[hold.server, hold.kind]
            entry[0] += hold.count
            entry[1] += hold.cancelling
            entry[2] = max(entry[2], hold.oldest_s)
    return [
        f"{server} {kind}: {count}, oldest {oldest:.1f} s, {cancelling} being cancelled"
        for (server, kind), (count, cancelling, oldest) in sorted(counts.items())
    ]


def _finding_lines(statuses: list[HostStatus]) -> list[str]:
    hosts = defaultdict(list)
    for status in statuses:
        for text in status.findings:
            hosts[text].append(status.host)
    return [f"{text} (on {', '.join(names)})" for text, names in sorted(hosts.items())]


def _status(command: "Status") -> int:
    addresses = find_addresses(command.addresses, command.platform)
    statuses, missing = fetch_status(addresses, command.request or "")
    if command.json:
        body = {"hosts": statuses, "missing": missing}
        text = msgspec.json.format(msgspec.json.encode(body), indent=2).decode() + "\n"
    elif command.request:
        text = format_decisions(statuses, command.request)
        text += "".join(f"{_INDENT}no answer: {item}\n" for item in missing)
    else:
        text = format_status(statuses, missing)
    sys.stdout.write(text)
    return 1 if missing or not statuses else 0


@cappa.command(name="status", invoke=_status)
@attrs.frozen
class Status:
    """Show documents and versions in force, members, leases, shares and holds.

    The addresses are those of `status_listen` in the hosts' settings. With
    `--request`, show the recorded decisions on one request: its refusals, retries and
    repairs, with what they were made from.

    Exit code 0: every host answered. 1: a host or the platform did not answer. 2:
    wrong usage.
    """

    addresses: Annotated[
        list[str],
        cappa.Arg(help="Status addresses, IP:PORT; default: the platform's list"),
    ] = attrs.field(factory=list)
    platform: Annotated[
        str | None,
        cappa.Arg(long="--platform", help="URL of the platform, to find hosts"),
    ] = None
    request: Annotated[
        str | None, cappa.Arg(long="--request", help="Request id, from X-Request-Id")
    ] = None
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False
