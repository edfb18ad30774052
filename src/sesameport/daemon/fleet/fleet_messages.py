"""Define the options and messages of the Fleet actor."""

from collections.abc import Callable
from typing import Any

import attrs
from result import Result

from sesameport.daemon.views.fleet_view import FleetTopic, FleetView
from sesameport.documents import load_service
from sesameport.domain import Finding, Host
from sesameport.fleet.configuration_state import ConfigurationSettings
from sesameport.fleet.membership import MembershipSettings
from sesameport.fleet.peer_messages import (
    DigestAnswer,
    DigestAsk,
    DocumentAsk,
    DocumentPush,
    IndirectProbe,
    ListingAsk,
    ListingPush,
    Probe,
    ProbeAck,
)
from sesameport.fleet.platform_reads import PlatformRead
from sesameport.interfaces import Sender

__all__ = [
    "CONFIGURATION_MESSAGES",
    "FleetOptions",
    "Leave",
    "MEMBERSHIP_MESSAGES",
    "GetNextRead",
    "PeerMessage",
    "ViewHolder",
    "ReadCompleted",
    "Subscribe",
    "TICK_S",
    "FleetTick",
    "check_document",
]

TICK_S = 0.25
"""Period of the actor's ticks; membership expects four ticks per probe period."""

MEMBERSHIP_MESSAGES = (Probe, IndirectProbe, ProbeAck)
CONFIGURATION_MESSAGES = (
    DigestAsk,
    DigestAnswer,
    DocumentAsk,
    DocumentPush,
    ListingAsk,
    ListingPush,
)


@attrs.frozen
class FleetOptions:
    """Configure the Fleet actor.

    Attributes
    ----------
    local_host : Host
        This host, with its caller and peer addresses.
    incarnation : str
        Random 64-bit number that identifies this process, hexadecimal.
    data_centres : tuple of str
        Names of all data centres.
    seeds : tuple of str
        Names of the seeds in the peer link.
    watch_s : float
        Duration of one watch, seconds; at most a quarter of the key staleness bound.
    """

    local_host: Host
    incarnation: str
    data_centres: tuple[str, ...]
    seeds: tuple[str, ...] = ()
    watch_s: float = 2.0
    membership: MembershipSettings = MembershipSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()


@attrs.frozen
class FleetTick:
    """Run the periodic work of membership and configuration."""


@attrs.frozen
class PeerMessage:
    """Carry a message from another host."""

    sender: Sender
    message: Any


@attrs.frozen
class GetNextRead:
    """Request the next platform read; the answer is None if there is none now."""


@attrs.frozen
class ReadCompleted:
    """Carry the result of a read and the time at which it started."""

    read: PlatformRead
    requested_at: float
    result: Result


@attrs.frozen
class Subscribe:
    """Add a subscriber to a topic."""

    topic: FleetTopic
    callback: Callable[[FleetView], None]


@attrs.frozen
class Leave:
    """Announce a graceful shutdown to the other hosts."""


@attrs.define
class ViewHolder:
    """Hold the newest view, which the actor replaces and any thread may read."""

    view: FleetView = FleetView()


def check_document(name: str, value: bytes):
    """Return the document and the findings of a ServiceDocument object's value.

    The document is None if the value is not valid.
    """
    try:
        text = value.decode()
    except UnicodeDecodeError as exc:
        return None, [Finding(name, "encoding", f"not UTF-8: {exc}")]
    document, findings = load_service(text, name)
    if document is not None and document.name != name:
        message = f"{document.name!r} differs from the object's name {name!r}"
        return None, [Finding(name, "name", message)]
    return document, findings
