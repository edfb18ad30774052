"""Store the accepted and the newest seen version of every document."""

import hashlib
from collections.abc import Callable
from typing import Any

import attrs

from sesameport.domain import Finding
from sesameport.fleet.peer_messages import DocumentVersions
from sesameport.interfaces import ObjectList, StoredObject

__all__ = ["DocumentRecord", "DocumentStore"]

DocumentCheck = Callable[[str, bytes], tuple[Any, list[Finding]]]

MAX_REJECTED_VERSIONS = 16
"""Rejected versions remembered per document. A remembered version is not requested
from peers again."""


@attrs.define
class DocumentRecord:
    """Represent the known versions of one document.

    Attributes
    ----------
    accepted : StoredObject or None
        Newest accepted object; a tombstone after a deletion.
    document : object
        Parsed content of ``accepted``; None after a deletion or before the first
        acceptance.
    rejected : StoredObject or None
        Newest rejected object if it is newer than the accepted one.
    findings : list of Finding
        Findings of the rejected object.
    rejected_versions : list of int
        Versions rejected most recently.
    """

    name: str
    accepted: StoredObject | None = None
    document: Any = None
    rejected: StoredObject | None = None
    findings: list[Finding] = attrs.field(factory=list)
    rejected_versions: list[int] = attrs.field(factory=list)

    def accepted_version(self) -> int:
        """Return the accepted version, which may be a tombstone's; 0 if none."""
        return self.accepted.version if self.accepted else 0

    def seen_version(self) -> int:
        """Return the newest seen version, accepted or rejected; 0 if none."""
        rejected = self.rejected.version if self.rejected else 0
        return max(self.accepted_version(), rejected)


class DocumentStore:
    """Store documents by version, whatever their source.

    Versions at or below the accepted one are ignored, so duplicate and late messages
    and reads from a lagging replica cannot revert a document. Tombstones are kept for
    the life of the process. They hold no value, and there is one per deleted service.

    Parameters
    ----------
    kind : str
        Object kind to accept; other kinds are ignored.
    check : callable
        Parses a document given its name and value; returns its content and findings.
    """

    def __init__(self, kind: str, check: DocumentCheck):
        self.kind = kind
        self.records: dict[str, DocumentRecord] = {}
        self._check = check
        self._digest: str | None = None

    def merge_object(self, stored: StoredObject) -> bool:
        """Merge an object from any source; return whether the store changed."""
        if stored.kind != self.kind:
            return False
        record = self.records.get(stored.name) or DocumentRecord(stored.name)
        if stored.version <= record.accepted_version():
            return False
        if stored.version in record.rejected_versions:
            return False
        document, findings = None, []
        if not stored.deleted:
            document, findings = self._check(stored.name, stored.value)
        self.records[stored.name] = record
        self._digest = None
        if findings or (document is None and not stored.deleted):
            self._reject(record, stored, findings)
            return True
        record.accepted = stored
        record.document = document
        if record.rejected and record.rejected.version < stored.version:
            record.rejected = None
            record.findings = []
        return True

    def merge_object_list(self, objects: ObjectList) -> list[str]:
        """Merge a complete list read at one version; return the changed names.

        A known document of a lower version that the list does not contain was deleted.
        """
        changed = [
            stored.name for stored in objects.objects if self.merge_object(stored)
        ]
        listed_names = {stored.name for stored in objects.objects}
        for record in list(self.records.values()):
            if record.name in listed_names or record.seen_version() >= objects.version:
                continue
            if record.accepted and record.accepted.deleted and not record.rejected:
                continue
            tombstone = StoredObject(self.kind, record.name, objects.version, b"", True)
            if self.merge_object(tombstone):
                changed.append(record.name)
        return changed

    def highest_version(self) -> int:
        """Return the highest seen version of any document; 0 if there is none."""
        return max((r.seen_version() for r in self.records.values()), default=0)

    def digest(self) -> str:
        """Return a digest of the versions of all documents."""
        if self._digest is None:
            hasher = hashlib.blake2b(digest_size=8)
            for own in self.versions():
                hasher.update(f"{own.name} {own.accepted} {own.seen}\n".encode())
            self._digest = hasher.hexdigest()
        return self._digest

    def versions(self) -> tuple[DocumentVersions, ...]:
        """Return the versions of all documents, sorted by name."""
        return tuple(
            DocumentVersions(name, record.accepted_version(), record.seen_version())
            for name, record in sorted(self.records.items())
        )

    def newer_remotely(
        self, remote_versions: tuple[DocumentVersions, ...]
    ) -> list[str]:
        """Return the names of documents that are newer on the other host."""
        names = []
        for remote in remote_versions:
            record = self.records.get(remote.name) or DocumentRecord(remote.name)
            for own_version, version in (
                (record.accepted_version(), remote.accepted),
                (record.seen_version(), remote.seen),
            ):
                if version > own_version and version not in record.rejected_versions:
                    names.append(remote.name)
                    break
        return names

    def newer_locally(self, remote_versions: tuple[DocumentVersions, ...]) -> list[str]:
        """Return the names of documents that are newer on this host."""
        remote_by_name = {remote.name: remote for remote in remote_versions}
        names = []
        for own in self.versions():
            remote = remote_by_name.get(own.name, DocumentVersions(own.name, 0, 0))
            if own.accepted > remote.accepted or own.seen > remote.seen:
                names.append(own.name)
        return names

    def stored_objects(self, names) -> tuple[StoredObject, ...]:
        """Return the accepted and the rejected objects of the named documents."""
        result = []
        for name in names:
            record = self.records.get(name)
            if record is None:
                continue
            result.extend(
                stored for stored in (record.accepted, record.rejected) if stored
            )
        return tuple(result)

    def _reject(
        self, record: DocumentRecord, stored: StoredObject, findings: list[Finding]
    ) -> None:
        record.rejected_versions.append(stored.version)
        del record.rejected_versions[:-MAX_REJECTED_VERSIONS]
        if stored.version > record.seen_version():
            record.rejected = stored
            record.findings = list(findings)
