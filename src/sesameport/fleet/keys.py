"""Decide whether an API key is valid and the configuration is fresh enough."""

import enum

import attrs

from sesameport.domain import ServiceDocument
from sesameport.fleet.freshness import EvidenceState, PlatformEvidence

__all__ = [
    "KeyDecision",
    "KeyIndex",
    "KeyOwner",
    "decide_key",
    "is_configuration_usable",
]


class KeyDecision(enum.StrEnum):
    """Enumerate the outcomes of a key check."""

    ALLOWED = "allowed"
    UNKNOWN_KEY = "unknown-key"
    STALE = "stale"


@attrs.frozen
class KeyOwner:
    """Represent the service and workspace that a key digest belongs to."""

    service: str
    workspace: str


@attrs.define
class KeyIndex:
    """Map key digests to workspaces.

    `replace` rebuilds the entries of one service; `find` is one dictionary access. A
    digest may occur in several services, once in each.
    """

    _owners: dict[str, tuple[KeyOwner, ...]] = attrs.field(factory=dict)
    _workspaces: dict[str, dict[str, str]] = attrs.field(factory=dict)

    def replace(self, service: str, doc: ServiceDocument | None) -> frozenset[str]:
        """Replace the keys of a service by those of ``doc``; None removes the service.

        Returns
        -------
        frozenset of str
            Digests that were withdrawn or moved to another workspace. The caller must
            end the open streams of this service that use them.
        """
        old = self._workspaces.get(service, {})
        workspaces = doc.workspaces if doc is not None else ()
        new = {
            digest: workspace.name
            for workspace in workspaces
            for digest in workspace.keys
        }
        for digest in old.keys() | new.keys():
            owners = [
                owner
                for owner in self._owners.pop(digest, ())
                if owner.service != service
            ]
            if digest in new:
                owners.append(KeyOwner(service, new[digest]))
            if owners:
                self._owners[digest] = tuple(owners)
        self._workspaces[service] = new
        return frozenset(
            digest for digest, name in old.items() if new.get(digest) != name
        )

    def owners(self, digest: str) -> tuple[KeyOwner, ...]:
        """Return the owners of a digest, one per service that lists it."""
        return self._owners.get(digest, ())

    def find(self, service: str, digest: str) -> KeyOwner | None:
        """Return the owner of a digest in one service; None if there is none."""
        for owner in self._owners.get(digest, ()):
            if owner.service == service:
                return owner
        return None


def is_configuration_usable(
    age_s: float,
    staleness_s: float,
    own_data_centre: str,
    data_centres: tuple[str, ...],
    evidence: dict[str, PlatformEvidence],
) -> bool:
    """Return whether keys may be accepted with a configuration of this age.

    Above the staleness bound, a key may have been withdrawn without this host knowing.
    Keys are then accepted only if no operator can have edited documents: hosts of every
    data centre, this one included, reported within the bound that they cannot reach the
    platform. Missing evidence and evidence older than the bound do not count.

    Parameters
    ----------
    age_s : float
        Time since the platform was known to have nothing newer, seconds.
    staleness_s : float
        Staleness bound, seconds.
    own_data_centre : str
        Data centre of this host.
    data_centres : tuple of str
        All data centres of the deployment, from the settings.
    evidence : dict of str to PlatformEvidence
        Newest evidence, by data centre.
    """
    if age_s <= staleness_s:
        return True
    for name in {own_data_centre, *data_centres}:
        newest = evidence.get(name)
        if newest is None or newest.age_s > staleness_s:
            return False
        if newest.state != EvidenceState.UNREACHABLE:
            return False
    return True


def decide_key(
    index: KeyIndex, service: str, digest: str, is_open: bool, is_usable: bool
) -> tuple[KeyDecision, KeyOwner | None]:
    """Return the decision on a request or open stream with a key, and the key's owner.

    Parameters
    ----------
    index : KeyIndex
        Keys of the accepted documents.
    service : str
        Service that the route belongs to.
    digest : str
        ``sha256:<hex>`` of the key; empty if the caller sent none.
    is_open : bool
        Whether the route needs no key.
    is_usable : bool
        Result of `is_configuration_usable`.

    Returns
    -------
    decision : KeyDecision
        `KeyDecision.UNKNOWN_KEY` only while the configuration is usable. On a stale
        host the key may be newer than the document, so the decision is
        `KeyDecision.STALE`.
    owner : KeyOwner or None
        Workspace of the key; None if refused or on open routes.
    """
    if is_open:
        return KeyDecision.ALLOWED, None
    if not is_usable:
        return KeyDecision.STALE, None
    owner = index.find(service, digest) if digest else None
    if owner is None:
        return KeyDecision.UNKNOWN_KEY, None
    return KeyDecision.ALLOWED, owner
