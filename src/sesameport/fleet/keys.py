"""Decide whether a key is valid and whether the configuration is fresh enough."""

import enum

import attrs

from sesameport.world import ServiceDocument

__all__ = [
    "CentreEvidence",
    "KeyDecision",
    "KeyIndex",
    "KeyOwner",
    "PlatformEvidence",
    "decide_key",
    "is_configuration_usable",
]


class PlatformEvidence(enum.StrEnum):
    """Name what the hosts of a data centre say about the platform."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    NOT_HEARD = "not-heard"


@attrs.frozen
class CentreEvidence:
    """Hold the newest evidence from one data centre.

    ``UNREACHABLE`` may be given only when every live host of the data centre says so;
    one host that reaches the platform makes it ``REACHABLE``. ``age_s`` counts from
    before the query was sent to the data centre.
    """

    data_centre: str
    evidence: PlatformEvidence
    age_s: float


class KeyDecision(enum.StrEnum):
    """Name the outcome for one request or stream."""

    ALLOWED = "allowed"
    UNKNOWN_KEY = "unknown-key"
    STALE = "stale"


@attrs.frozen
class KeyOwner:
    """Name the service and workspace that a key digest belongs to."""

    service: str
    workspace: str


@attrs.define
class KeyIndex:
    """Map key digests to workspaces.

    `replace` builds the entries of one document version; `find` is one dictionary
    access. A digest may stand in several services, once in each.
    """

    _owners: dict[str, tuple[KeyOwner, ...]] = attrs.field(factory=dict)
    _workspaces: dict[str, dict[str, str]] = attrs.field(factory=dict)

    def replace(self, service: str, doc: ServiceDocument | None) -> frozenset[str]:
        """Put the keys of a document version in force; None removes the service.

        Returns
        -------
        frozenset of str
            Digests that are withdrawn or moved to another workspace. Their open
            streams of this service are to be ended.
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
                item for item in self._owners.pop(digest, ()) if item.service != service
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
        """Return the owners of a digest, one for each service that lists it."""
        return self._owners.get(digest, ())

    def find(self, service: str, digest: str) -> KeyOwner | None:
        """Return the owner of a digest in one service."""
        for owner in self._owners.get(digest, ()):
            if owner.service == service:
                return owner
        return None


def is_configuration_usable(
    age_s: float,
    staleness_s: float,
    home: str,
    data_centres: tuple[str, ...],
    evidence: dict[str, CentreEvidence],
) -> bool:
    """Tell whether keys may be accepted with a configuration of this age.

    Above the staleness bound a key may have been withdrawn unseen, unless nobody can
    edit: the hosts of every data centre, this one included, said within the bound that
    they cannot reach the platform. Evidence that is missing or older than the bound
    counts as not heard.

    Parameters
    ----------
    age_s : float
        Time since the platform was known to have nothing newer, seconds.
    staleness_s : float
        Staleness bound, seconds.
    home : str
        Data centre of this host.
    data_centres : tuple of str
        All data centres of the deployment, from the settings.
    evidence : dict of str to CentreEvidence
        Newest evidence by data centre.
    """
    if age_s <= staleness_s:
        return True
    for name in {home, *data_centres}:
        item = evidence.get(name)
        if item is None or item.age_s > staleness_s:
            return False
        if item.evidence != PlatformEvidence.UNREACHABLE:
            return False
    return True


def decide_key(
    index: KeyIndex, service: str, digest: str, is_open: bool, is_usable: bool
) -> tuple[KeyDecision, KeyOwner | None]:
    """Decide on a request, or on an open stream, of one key.

    Parameters
    ----------
    index : KeyIndex
        Keys of the documents in force.
    service : str
        Service of the route.
    digest : str
        ``sha256:<hex>`` of the key; empty without a key.
    is_open : bool
        Whether the route needs no key.
    is_usable : bool
        Result of `is_configuration_usable`.

    Returns
    -------
    decision : KeyDecision
        An unknown key is reported as such only while the configuration is usable: on
        a stale host the key may be newer than the document.
    owner : KeyOwner or None
        Workspace that the request runs for; None on open routes.
    """
    if is_open:
        return KeyDecision.ALLOWED, None
    if not is_usable:
        return KeyDecision.STALE, None
    owner = index.find(service, digest) if digest else None
    if owner is None:
        return KeyDecision.UNKNOWN_KEY, None
    return KeyDecision.ALLOWED, owner
