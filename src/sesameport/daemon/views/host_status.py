"""Describe one host for ``GET /status``."""

import math

import pykka

from sesameport.daemon.views.fleet_view import FleetView
from sesameport.telemetry.status import (
    DocumentStatus,
    HoldStatus,
    HostStatus,
    MemberStatus,
)

__all__ = ["describe_documents", "describe_host"]


def describe_documents(view: FleetView) -> tuple[DocumentStatus, ...]:
    """Return the accepted documents with their newest rejected versions."""
    names = sorted(view.documents.keys() | view.findings.keys())
    statuses = []
    for name in names:
        active = view.documents.get(name)
        rejected_version, findings = view.findings.get(name, (0, ()))
        statuses.append(
            DocumentStatus(
                name,
                active.version if active else 0,
                rejected_version,
                tuple(str(finding) for finding in findings),
            )
        )
    return tuple(statuses)


def _describe_holds(daemon) -> tuple[HoldStatus, ...]:
    try:
        count, cancelling = daemon.request_components.count_holds()
    except (pykka.Timeout, pykka.ActorDeadError):
        return ()
    if not count and not cancelling:
        return ()
    return (HoldStatus("all servers", "any", count, cancelling=cancelling),)


def describe_host(daemon, request_id: str, now: float) -> HostStatus:
    """Return the status of a host, including the decisions on one request."""
    view, host = daemon.fleet_components.fleet.view(), daemon.cfg.host
    age_s = view.freshness_age(now)
    documents = describe_documents(view)
    shares = daemon.fleet_components.describe_shares()
    return HostStatus(
        host.name,
        host.data_centre,
        daemon.incarnation,
        daemon.cfg.region(),
        daemon.is_ready(),
        now - daemon.started_at,
        None if math.isinf(age_s) else age_s,
        daemon.fleet_components.platform.is_reachable,
        documents,
        tuple(
            MemberStatus(
                member.name,
                member.data_centre,
                "leaving" if member.leaving else str(member.state),
                member.incarnation,
            )
            for member in view.members
        ),
        leases=shares.leases,
        shares=shares.shares,
        holds=_describe_holds(daemon),
        findings=tuple(text for document in documents for text in document.findings),
        decisions=tuple(daemon.recorder.decisions.find(request_id)),
        in_flight=daemon.admission.count_in_flight(),
        now=now,
    )
