"""Describe platform calls that sans-I/O code requests and a worker thread makes."""

import attrs
from result import Result

from sesameport.interfaces import Platform, PlatformError, StoredObject

__all__ = [
    "CreateObject",
    "PlatformIntent",
    "ReadObject",
    "UpdateObject",
    "run_intent",
]


@attrs.frozen
class ReadObject:
    """Request a read of one object; ``call_id`` matches the answer to this intent."""

    call_id: int
    kind: str
    name: str


@attrs.frozen
class CreateObject:
    """Request the creation of an object if none of this name exists."""

    call_id: int
    kind: str
    name: str
    value: bytes


@attrs.frozen
class UpdateObject:
    """Request the replacement of an object if it still has ``version``."""

    call_id: int
    kind: str
    name: str
    value: bytes
    version: int


PlatformIntent = ReadObject | CreateObject | UpdateObject


def run_intent(
    platform: Platform, intent: PlatformIntent
) -> Result[StoredObject, PlatformError]:
    """Make the platform call of an intent and return its result; blocks."""
    if isinstance(intent, ReadObject):
        return platform.get(intent.kind, intent.name)
    if isinstance(intent, CreateObject):
        return platform.create(intent.kind, intent.name, intent.value)
    return platform.update(intent.kind, intent.name, intent.value, intent.version)
