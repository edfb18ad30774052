"""Show the state and the recorded decisions of hosts."""

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

_MAX_SHARES_SHOWN = 20
_INDENT = "  "


def fetch_status(
    addresses: list[str], request_id: str = ""
) -> tuple[list[HostStatus], list[str]]:
    """Return the status of hosts, and the addresses that returned none.

    Returns
    -------
    statuses : list of HostStatus
        Status of each host, sorted by data centre and host.
    missing : list of str
        Addresses that did not return a valid status, each with the reason.
    """
    query = f"?request={quote(request_id, safe='')}" if request_id else ""
    statuses, missing = [], []
    for response in fetch_all(addresses, f"/status{query}"):
        result = response.result.and_then(decode_status)
        if result.is_err():
            missing.append(f"{response.address}: {result.unwrap_err()}")
            continue
        statuses.append(result.unwrap())
    statuses.sort(key=lambda status: (status.data_centre, status.host))
    return statuses, missing


def format_status(statuses: list[HostStatus], missing: list[str]) -> str:
    """Return the status of a fleet as text."""
    lines = [f"{len(statuses)} hosts answered, {len(missing)} did not"]
    lines += [f"{_INDENT}no answer: {text}" for text in missing]
    sections = (
        ("hosts", _format_hosts),
        ("documents", _format_documents),
        ("members", _format_members),
        ("leases", _format_leases),
        ("shares (tokens, all hosts)", _format_shares),
        ("holds", _format_holds),
        ("findings", _format_findings),
    )
    for title, format_section in sections:
        body = format_section(statuses) or ["none"]
        lines += ["", title, *[_INDENT + line for line in body]]
    return "\n".join(lines) + "\n"


def format_decisions(statuses: list[HostStatus], request_id: str) -> str:
    """Return the decision records of one request as text."""
    lines = [f"decisions on request {request_id}"]
    for status in statuses:
        for decision in status.decisions:
            inputs = " ".join(
                f"{name}={value}" for name, value in decision.inputs.items()
            )
            age_s = status.now - decision.at
            lines.append(
                f"{_INDENT}{status.host} #{decision.sequence}, {age_s:.1f} s ago: "
                f"{decision.kind}: {decision.reason} {inputs}".rstrip()
            )
    if len(lines) == 1:
        lines.append(f"{_INDENT}none kept (a host keeps the last 500 of each kind)")
    return "\n".join(lines) + "\n"


def _format_hosts(statuses: list[HostStatus]) -> list[str]:
    lines = []
    for status in statuses:
        age_s = status.configuration_age_s
        lines.append(
            f"{status.host} in {status.data_centre}: "
            f"{'ready' if status.ready else 'not ready'}, up {status.uptime_s:.0f} s, "
            f"configuration age {'unknown' if age_s is None else f'{age_s:.1f} s'}, "
            f"platform {'reached' if status.platform_reachable else 'not reached'}, "
            f"{status.waiting} waiting, {status.in_flight} in flight"
        )
    return lines


def _format_documents(statuses: list[HostStatus]) -> list[str]:
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
    for name, hosts_by_label in sorted(versions.items()):
        if len(hosts_by_label) == 1:
            label, hosts = next(iter(hosts_by_label.items()))
            lines.append(f"{name}: {label} on all {len(hosts)} hosts that have it")
            continue
        lines.append(f"{name}: hosts differ")
        lines += [
            f"{_INDENT}{label} on {', '.join(hosts)}"
            for label, hosts in sorted(hosts_by_label.items())
        ]
    for (name, version), (hosts, findings) in sorted(refused.items()):
        lines.append(f"{name}: version {version} refused on {', '.join(hosts)}")
        lines += [f"{_INDENT}{text}" for text in findings]
    return lines


def _format_members(statuses: list[HostStatus]) -> list[str]:
    state_counts: dict[tuple[str, str], Counter] = defaultdict(Counter)
    for status in statuses:
        for member in status.members:
            state_counts[member.data_centre, member.host][member.state] += 1
    lines = []
    for (data_centre, host), states in sorted(state_counts.items()):
        if len(states) == 1:
            lines.append(f"{host} in {data_centre}: {next(iter(states))}")
            continue
        states_text = ", ".join(f"{state} to {n}" for state, n in states.most_common())
        lines.append(f"{host} in {data_centre}: hosts differ: {states_text}")
    return lines


def _format_leases(statuses: list[HostStatus]) -> list[str]:
    newest = {}
    holders = defaultdict(list)
    for status in statuses:
        for lease in status.leases:
            if lease.name not in newest or lease.epoch > newest[lease.name].epoch:
                newest[lease.name] = lease
            if lease.remaining_s is not None and lease.remaining_s > 0:
                holders[lease.name].append((status.host, lease.remaining_s))
    lines = []
    for name, lease in sorted(newest.items()):
        text = f"{name}: epoch {lease.epoch}, holder {lease.holder or 'unknown'}"
        for host, remaining_s in holders[name]:
            text += f", held by {host} for {remaining_s:.1f} s"
        if len(holders[name]) > 1:
            text += ", MORE THAN ONE HOLDER"
        lines.append(text)
    return lines


def _format_shares(statuses: list[HostStatus]) -> list[str]:
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
    for key in sorted(sums)[:_MAX_SHARES_SHOWN]:
        standing, lots, lent = sums[key]
        owner = ", ".join(sorted(owners[key])) or "unknown"
        lines.append(
            f"{key[0]}/{key[1] or '(open routes)'}: standing {standing:.0f}, "
            f"lots {lots:.0f}, lent {lent:.0f}, pool owner {owner}"
        )
    if len(sums) > _MAX_SHARES_SHOWN:
        lines.append(f"and {len(sums) - _MAX_SHARES_SHOWN} more; --json has all")
    return lines


def _format_holds(statuses: list[HostStatus]) -> list[str]:
    counts: dict[tuple[str, str], list[float]] = defaultdict(lambda: [0, 0, 0.0])
    for status in statuses:
        for hold in status.holds:
            totals = counts[hold.server, hold.kind]
            totals[0] += hold.count
            totals[1] += hold.cancelling
            totals[2] = max(totals[2], hold.oldest_s)
    return [
        f"{server} {kind}: {count}, oldest {oldest:.1f} s, {cancelling} being cancelled"
        for (server, kind), (count, cancelling, oldest) in sorted(counts.items())
    ]


def _format_findings(statuses: list[HostStatus]) -> list[str]:
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
        text += "".join(f"{_INDENT}no answer: {reason}\n" for reason in missing)
    else:
        text = format_status(statuses, missing)
    sys.stdout.write(text)
    return 1 if missing or not statuses else 0


@cappa.command(name="status", invoke=_status)
@attrs.frozen
class Status:
    """Show documents with their versions in force, members, leases, shares and holds.

    The addresses are those of `status_listen` in the hosts' settings. With
    `--request`, show the recorded decisions on one request (refusals, retries and
    repairs) and the inputs of each decision.

    Exit code 0: every host responded. 1: a host or the platform did not respond. 2:
    wrong usage.
    """

    addresses: Annotated[
        list[str],
        cappa.Arg(help="Status addresses, IP:PORT; default: the platform's list"),
    ] = attrs.field(factory=list)
    platform: Annotated[
        str | None,
        cappa.Arg(long="--platform", help="URL of the platform that lists the hosts"),
    ] = None
    request: Annotated[
        str | None, cappa.Arg(long="--request", help="Request id, from X-Request-Id")
    ] = None
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False
