"""Keep refused subjects in the platform's store.

Hosts learn of crashes from each other. The store serves only the case that all of them
stop: a host reads it once after its start. Each crash of a refused subject costs one
call to write. All calls run on threads of their own, because the store may not answer.
A store that came back from an older copy may lack records and have deleted ones.
"""

import hashlib
import threading
import time
from collections.abc import Callable

import attrs
import msgspec
from result import Err, Ok

from sesameport.admission import SuspectReport
from sesameport.interfaces import Platform, PlatformErrorKind, StoredObject
from sesameport.telemetry.logs import get_logger

__all__ = ["SUSPECT_KIND", "SuspectRecord", "SuspectStore"]

SUSPECT_KIND = "crash-suspects"
"""Kind of the router's own objects that hold a refused subject each."""

RECORD_LIFETIME_S = 3_600.0
"""Age at which a record is ignored and deleted, seconds of wall-clock time."""

LOAD_RETRY_S = 1.0

log = get_logger("store")


@attrs.frozen
class SuspectRecord:
    """Represent a stored suspect.

    Attributes
    ----------
    subject : str
        What the requests have in common.
    crashes : dict of str to bool
        Ids of the crashes and whether the subject was cleared of each.
    saved_at : float
        Unix time of the record, seconds.
    """

    subject: str
    crashes: dict[str, bool]
    saved_at: float


class SuspectStore:
    """Load, save and delete records of refused subjects.

    Parameters
    ----------
    platform : Platform
        The store.
    closing : threading.Event
        Set when the host closes; ends attempts to load.
    """

    def __init__(self, platform: Platform, closing: threading.Event):
        self._platform = platform
        self._closing = closing

    def start_loading(self, on_loaded: Callable[[list[SuspectReport]], None]) -> None:
        """Call ``on_loaded`` with the records once the store has listed them."""
        self._start(self._load, on_loaded)

    def start_saving(
        self, report: SuspectReport, on_saved: Callable[[str, int], None]
    ) -> None:
        """Create a record of a suspect with its present crashes.

        If it exists afterwards, call ``on_saved`` with the subject and their number.
        """
        self._start(self._save, report, on_saved)

    def start_restoring(self, refused: list[SuspectReport], cleared: set[str]) -> None:
        """Create missing records of refused subjects; delete those of cleared ones."""
        self._start(self._restore, refused, cleared)

    def start_deleting(self, subject: str) -> None:
        """Delete the records of a subject."""
        self._start(self._delete, subject)

    def _start(self, target: Callable, *args) -> None:
        threading.Thread(
            target=target, args=args, name="suspect-store", daemon=True
        ).start()

    def _load(self, on_loaded) -> None:
        def handle(objects: tuple[StoredObject, ...]) -> bool:
            on_loaded(self._read_records(objects))
            return True

        self._handle_listing(handle, "suspects not loaded")

    def _restore(self, refused: list[SuspectReport], cleared: set[str]) -> None:
        def handle(objects: tuple[StoredObject, ...]) -> bool:
            names = {stored.name for stored in objects}
            prefixes = tuple(_object_prefix(subject) for subject in cleared)
            for stored in objects:
                if stored.name.startswith(prefixes):
                    self._platform.delete(SUSPECT_KIND, stored.name, stored.version)
            missing = [
                report for report in refused if _object_name(report) not in names
            ]
            log.info("suspects restored", extra={"count": len(missing)})
            return all([self._create(report) for report in missing])

        self._handle_listing(handle, "suspects not restored")

    def _handle_listing(
        self, handle: Callable[[tuple[StoredObject, ...]], bool], event: str
    ) -> None:
        """List the records until the store answers and ``handle`` returns True."""
        while not self._closing.is_set():
            reason = "a record was not written"
            try:
                match self._platform.list(SUSPECT_KIND):
                    case Ok(listing):
                        if handle(listing.objects):
                            return
                    case Err(error):
                        reason = f"list: {error.kind} {error.detail}"
            except Exception as exc:
                reason = repr(exc)
            log.info(event, extra={"reason": reason})
            self._closing.wait(LOAD_RETRY_S)

    def _read_records(self, objects: tuple[StoredObject, ...]) -> list[SuspectReport]:
        reports = []
        for stored in objects:
            try:
                record = msgspec.json.decode(stored.value, type=SuspectRecord)
            except (ValueError, RecursionError, OverflowError) as exc:
                log.warning(
                    "suspect record unreadable",
                    extra={"object": stored.name, "reason": str(exc)},
                )
                continue
            if not stored.name:
                continue
            if time.time() - record.saved_at >= RECORD_LIFETIME_S:
                self._platform.delete(SUSPECT_KIND, stored.name, stored.version)
                continue
            count = len(record.crashes)
            reports.append(SuspectReport(record.subject, record.crashes, count))
        return reports

    def _save(self, report: SuspectReport, on_saved) -> None:
        if self._create(report):
            on_saved(report.subject, len(report.crashes))

    def _create(self, report: SuspectReport) -> bool:
        """Create a record; return whether it exists afterwards."""
        record = SuspectRecord(report.subject, report.crashes, time.time())
        value = msgspec.json.encode(record)
        match self._platform.create(SUSPECT_KIND, _object_name(report), value):
            case Ok(_):
                return True
            case Err(error) if error.kind == PlatformErrorKind.EXISTS:
                return True
            case Err(error):
                log.info(
                    "suspect not stored",
                    extra={"subject": report.subject, "reason": str(error.kind)},
                )
                return False

    def _delete(self, subject: str) -> None:
        prefix = _object_prefix(subject)
        match self._platform.list(SUSPECT_KIND):
            case Ok(listing):
                for stored in listing.objects:
                    if stored.name.startswith(prefix):
                        self._platform.delete(SUSPECT_KIND, stored.name, stored.version)
            case Err(error):
                reason = f"list: {error.kind} {error.detail}"
                log.info(
                    "suspect records not deleted",
                    extra={"subject": subject, "reason": reason},
                )


def _object_name(report: SuspectReport) -> str:
    """Return the name of the record of a suspect.

    The count in it makes a call without a condition enough: hosts that know the same
    crashes create the same object, and readers merge all of a subject.
    """
    return f"{_object_prefix(report.subject)}{len(report.crashes)}"


def _object_prefix(subject: str) -> str:
    return hashlib.blake2b(subject.encode(), digest_size=16).hexdigest() + "-"
