"""Keep the accepted and the newest seen version of every document."""

import hashlib
from collections.abc import Callable
from typing import Any

import attrs

from sesameport.fleet.peer_messages import DocumentVersions
from sesameport.interfaces import ObjectList, StoredObject
from sesameport.world import Finding

__all__ = ["DocumentRecord", "DocumentStore"]

Check = Callable[[str, bytes], tuple[Any, list[Finding]]]

MAX_REJECTED_VERSIONS = 16
"""Rejected versions remembered per document, so that peers do not resend them."""


@attrs.define
class DocumentRecord:
    """Hold what is known of one document.

    Attributes
    ----------
    accepted : StoredObject or None
        Newest accepted object; a tombstone after a deletion.
    document : object
        Its checked content; None after a deletion or before the first acceptance.
    rejected : StoredObject or None
        Newest rejected object, while it is newer than the accepted one.
    findings : list of Finding
        Findings of the rejected object.
    """

    name: str
    accepted: StoredObject | None = None
    document: Any = None
    rejected: StoredObject | None = None
    findings: list[Finding] = attrs.field(factory=list)
    rejected_versions: list[int] = attrs.field(factory=list)

    def accepted_version(self) -> int:
        """Return the version in force or of the tombstone; 0 if there is none."""
        return self.accepted.version if self.accepted else 0

    def seen_version(self) -> int:
        """Return the newest version that was seen, accepted or not."""
        rejected = self.rejected.version if self.rejected else 0
        return max(self.accepted_version(), rejected)


class DocumentStore:
    """Accept documents by version, whatever their source.

    A version that is not above the accepted one changes nothing, so neither repeated
    and late messages nor lagging reads can revert a document. Tombstones are kept as
    long as the process lives; they have no value and are as many as deleted services.

    Parameters
    ----------
    check : callable
        Takes name and value, returns the checked document and its findings.
    """

    def __init__(self, kind: str, check: Check):
        self.kind = kind
        self.records: dict[str, DocumentRecord] = {}
        self._check = check
        self._digest: str | None = None

    def offer(self, stored: StoredObject) -> bool:
        """Take an object from any source; return whether anything changed."""
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

    def offer_list(self, objects: ObjectList) -> list[str]:
        """Take a complete list read at one version; return the changed names.

        A document of a lower version that is missing in the list was deleted.
        """
        changed = [item.name for item in objects.objects if self.offer(item)]
        named = {item.name for item in objects.objects}
        for record in list(self.records.values()):
            if record.name in named or record.seen_version() >= objects.version:
                continue
            if record.accepted and record.accepted.deleted and not record.rejected:
                continue
            stone = StoredObject(self.kind, record.name, objects.version, b"", True)
            if self.offer(stone):
                changed.append(record.name)
        return changed

    def highest_version(self) -> int:
        """Return the highest version of any document that was seen."""
        return max((r.seen_version() for r in self.records.values()), default=0)

    def digest(self) -> str:
        """Return a digest of the versions of all documents."""
        if self._digest is None:
            hasher = hashlib.blake2b(digest_size=8)
            for item in self.versions():
                hasher.update(f"{item.name} {item.accepted} {item.seen}\n".encode())
            self._digest = hasher.hexdigest()
        return self._digest

    def versions(self) -> tuple[DocumentVersions, ...]:
        """Return the versions of all documents, sorted by name."""
        return tuple(
            DocumentVersions(name, record.accepted_version(), record.seen_version())
            for name, record in sorted(self.records.items())
        )

    def newer_there(self, theirs: tuple[DocumentVersions, ...]) -> list[str]:
        """Return the names of which another host has something newer."""
        names = []
        for item in theirs:
            record = self.records.get(item.name) or DocumentRecord(item.name)
            for mine, version in (
                (record.accepted_version(), item.accepted),
                (record.seen_version(), item.seen),
            ):
                if version > mine and version not in record.rejected_versions:
                    names.append(item.name)
                    break
        return names

    def newer_here(self, theirs: tuple[DocumentVersions, ...]) -> list[str]:
        """Return the names of which this host has something newer."""
        known = {item.name: item for item in theirs}
        names = []
        for item in self.versions():
            other = known.get(item.name, DocumentVersions(item.name, 0, 0))
            if item.accepted > other.accepted or item.seen > other.seen:
                names.append(item.name)
        return names

    def copies(self, names) -> tuple[StoredObject, ...]:
        """Return the accepted and the rejected object of some documents."""
        found = []
        for name in names:
            record = self.records.get(name)
            if record is None:
                continue
            found.extend(item for item in (record.accepted, record.rejected) if item)
        return tuple(found)

    def _reject(
        self, record: DocumentRecord, stored: StoredObject, findings: list[Finding]
    ) -> None:
        record.rejected_versions.append(stored.version)
        del record.rejected_versions[:-MAX_REJECTED_VERSIONS]
        if stored.version > record.seen_version():
            record.rejected = stored
            record.findings = list(findings)
