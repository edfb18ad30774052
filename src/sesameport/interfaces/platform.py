"""Define the platform's object API as decision code and adapters see it."""

import enum
from typing import Protocol

import attrs
from result import Result

from sesameport.world import BackendServer, Host

__all__ = [
    "HostList",
    "ObjectList",
    "Platform",
    "PlatformError",
    "PlatformErrorKind",
    "StoredObject",
    "WatchBatch",
]


class PlatformErrorKind(enum.StrEnum):
    """Name the ways in which a platform call fails."""

    NOT_FOUND = "not-found"
    EXISTS = "exists"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    GONE = "gone"
    INVALID = "invalid"


@attrs.frozen
class PlatformError:
    """Describe a failed platform call.

    ``UNAVAILABLE`` means that the call had no effect; ``UNKNOWN`` that the answer was
    lost and the effect is unknown; ``GONE`` that a watch asked for a version that the
    platform no longer keeps, so the caller must list again.

    Attributes
    ----------
    kind : PlatformErrorKind
        Way in which the call failed.
    detail : str
        Text for the log.
    current_version : int
        Version that stands in the platform, for ``EXISTS`` and ``CONFLICT``; else 0.
    """

    kind: PlatformErrorKind
    detail: str = ""
    current_version: int = 0


@attrs.frozen
class StoredObject:
    """Describe an object of the platform.

    Versions rise over all objects together; ``deleted`` marks a tombstone.
    """

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False


@attrs.frozen
class ObjectList:
    """List the objects of one kind and the version at which they were read."""

    objects: tuple[StoredObject, ...]
    version: int


@attrs.frozen
class WatchBatch:
    """Hold the changes after a version, oldest first; empty when none came."""

    changes: tuple[StoredObject, ...]
    version: int


@attrs.frozen
class HostList:
    """Hold the platform's lagging list of entry hosts and backend servers."""

    hosts: tuple[Host, ...]
    servers: tuple[BackendServer, ...]


class Platform(Protocol):
    """Access the platform's object API.

    Every method blocks for at most its adapter's timeout and returns a result.
    """

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        ...

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of one kind."""
        ...

    def create(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, PlatformError]:
        """Create an object if none of this name exists."""
        ...

    def update(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if it still has the given version."""
        ...

    def delete(
        self, kind: str, name: str, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Turn an object into a tombstone if it still has the given version."""
        ...

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait for changes of one kind after a version, up to a timeout."""
        ...

    def hosts(self) -> Result[HostList, PlatformError]:
        """Read the lagging list of hosts and backend servers."""
        ...
