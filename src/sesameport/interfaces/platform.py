"""Define the interface of the platform's object API."""

import enum
from typing import Protocol

import attrs
from result import Result

from sesameport.domain import BackendServer, Host

__all__ = [
    "EraObject",
    "HostList",
    "ObjectList",
    "Platform",
    "PlatformError",
    "PlatformErrorKind",
    "StoredObject",
    "WatchBatch",
]


class PlatformErrorKind(enum.StrEnum):
    """Enumerate the kinds of failure of a platform call."""

    NOT_FOUND = "not-found"
    EXISTS = "exists"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    GONE = "gone"
    INVALID = "invalid"


@attrs.frozen
class PlatformError:
    """Represent a failed platform call.

    ``UNAVAILABLE`` means that the call had no effect. ``UNKNOWN`` means that no
    response was received and the call may have taken effect. ``GONE`` means that a
    watch requested a version that the platform no longer keeps, so the caller must
    list the objects again.

    Attributes
    ----------
    kind : PlatformErrorKind
        Kind of failure.
    detail : str
        Text for the log.
    current_version : int
        Current version in the platform, for ``EXISTS`` and ``CONFLICT``; otherwise 0.
    era : int
        Era of the answer; see `EraObject`.
    """

    kind: PlatformErrorKind
    detail: str = ""
    current_version: int = 0
    era: int = 0


@attrs.frozen
class StoredObject:
    """Represent an object in the platform.

    All objects share one increasing version counter. ``deleted`` marks a tombstone.
    """

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False


@attrs.frozen
class EraObject(StoredObject):
    """Represent an object with the era of the platform's answer about it.

    A platform that comes back from an older copy of itself gives out versions again and
    begins a new era, so versions of different eras can't be compared. A platform that
    forgets nothing has the era 0. Daemons send each other the class without the era.
    """

    era: int = 0


@attrs.frozen
class ObjectList:
    """Hold the objects of one kind, and the version and era at which they were read."""

    objects: tuple[StoredObject, ...]
    version: int
    era: int = 0


@attrs.frozen
class WatchBatch:
    """Hold the changes after a version, oldest first; empty after a timeout.

    ``era`` is that of the answer. In another era than that of the version there may be
    changes that are missing.
    """

    changes: tuple[StoredObject, ...]
    version: int
    era: int = 0


@attrs.frozen
class HostList:
    """Hold the platform's list of entry hosts and backend servers.

    The list may be out of date.
    """

    hosts: tuple[Host, ...]
    servers: tuple[BackendServer, ...]


class Platform(Protocol):
    """Access the platform's object API.

    Each method blocks for at most the adapter's timeout and returns failures as an
    ``Err``.
    """

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        ...

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of one kind, including tombstones."""
        ...

    def create(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, PlatformError]:
        """Create an object unless one with this name exists."""
        ...

    def update(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its current version equals the given one."""
        ...

    def delete(
        self, kind: str, name: str, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object by a tombstone if its version equals the given one."""
        ...

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait until the timeout for changes to objects of one kind after a version."""
        ...

    def hosts(self) -> Result[HostList, PlatformError]:
        """Read the list of hosts and backend servers, which may be out of date."""
        ...
