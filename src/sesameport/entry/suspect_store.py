"""Keep refused subjects in the platform's store.

Hosts learn of crashes from each other. The store serves only the case that all of them
stop: a host reads it once after its start. Each crash of refused subjects costs one
call to write, however many subjects have the same crashes. The calls run on threads of
their own, because the store may not answer, and the writes on a single one. A store
that came back from an older copy may lack records and have deleted ones.
"""

import hashlib
import queue
import threading
import time
from collections.abc import Callable

import attrs
import msgspec
from result import Err, Ok

from sesameport.admission import SuspectGroup
from sesameport.interfaces import Platform, PlatformErrorKind, StoredObject
from sesameport.telemetry.logs import get_logger

__all__ = ["SUSPECT_KIND", "SuspectRecord", "SuspectStore"]

SUSPECT_KIND = "crash-suspects"
"""Kind of the router's own objects that hold a refused subject each."""

RECORD_LIFETIME_S = 3_600.0
"""Age at which a record is ignored and deleted, seconds of wall-clock time."""

LOAD_RETRY_S = 1.0

WORKER_IDLE_S = 5.0
"""Time without a write after which the thread ends, seconds."""

log = get_logger("store")


@attrs.frozen
class SuspectRecord:
    """Represent a stored suspect, or several with the same crashes.

    Attributes
    ----------
    subject : str
        What the requests have in common.
    crashes : dict of str to bool
        Ids of the crashes and whether the subject was cleared of each.
    saved_at : float
        Unix time of the record, seconds.
    subjects : tuple of str
        All subjects if there are several; ``subject`` is the first of them.
    """

    subject: str
    crashes: dict[str, bool]
    saved_at: float
    subjects: tuple[str, ...] = ()

    def group(self) -> SuspectGroup:
        """Return the suspects as stored."""
        subjects = self.subjects or (self.subject,)
        return SuspectGroup(subjects, self.crashes, len(self.crashes))


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
        self._jobs: queue.SimpleQueue = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._has_worker = False

    def start_loading(self, on_loaded: Callable[[list[SuspectGroup]], None]) -> None:
        """Call ``on_loaded`` with the records once the store has listed them."""
        self._start(self._load, on_loaded)

    def start_saving(
        self, group: SuspectGroup, on_saved: Callable[[SuspectGroup], None]
    ) -> None:
        """Create a record of suspects with their present crashes.

        If it exists afterwards, call ``on_saved`` with them.
        """
        self._queue(lambda: self._save(group, on_saved))

    def start_restoring(self, refused: list[SuspectGroup], cleared: set[str]) -> None:
        """Create missing records of refused subjects; delete those of cleared ones."""
        self._start(self._restore, refused, cleared)

    def start_deleting(self, subjects: set[str]) -> None:
        """Delete the records of some subjects that have no others."""
        self._queue(lambda: self._delete(subjects))

    def _start(self, target: Callable, *args) -> None:
        threading.Thread(
            target=target, args=args, name="suspect-store", daemon=True
        ).start()

    def _queue(self, job: Callable[[], None]) -> None:
        """Run a job after those before it."""
        self._jobs.put(job)
        with self._lock:
            if not self._has_worker:
                self._has_worker = True
                self._start(self._run_jobs)

    def _run_jobs(self) -> None:
        while not self._closing.is_set():
            try:
                job = self._jobs.get(timeout=WORKER_IDLE_S)
            except queue.Empty:
                with self._lock:
                    if self._jobs.empty():
                        self._has_worker = False
                        return
                continue
            try:
                job()
            except Exception as exc:
                log.error("suspects not written", extra={"error": repr(exc)})

    def _load(self, on_loaded) -> None:
        def handle(objects: tuple[StoredObject, ...]) -> bool:
            on_loaded(self._read_records(objects))
            return True

        self._handle_listing(handle, "suspects not loaded")

    def _restore(self, refused: list[SuspectGroup], cleared: set[str]) -> None:
        def handle(objects: tuple[StoredObject, ...]) -> bool:
            names = {stored.name for stored in objects}
            self._delete_records(objects, cleared)
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

    def _read_records(self, objects: tuple[StoredObject, ...]) -> list[SuspectGroup]:
        groups = []
        for stored in objects:
            record = _decode_record(stored)
            if record is None or not stored.name:
                continue
            if time.time() - record.saved_at >= RECORD_LIFETIME_S:
                self._platform.delete(SUSPECT_KIND, stored.name, stored.version)
                continue
            groups.append(record.group())
        return groups

    def _save(self, group: SuspectGroup, on_saved) -> None:
        if self._create(group):
            on_saved(group)

    def _create(self, group: SuspectGroup) -> bool:
        """Create a record; return whether it exists afterwards."""
        first, *others = group.subjects
        subjects = group.subjects if others else ()
        record = SuspectRecord(first, group.crashes, time.time(), subjects)
        value = msgspec.json.encode(record)
        match self._platform.create(SUSPECT_KIND, _object_name(group), value):
            case Ok(_):
                return True
            case Err(error) if error.kind == PlatformErrorKind.EXISTS:
                return True
            case Err(error):
                log.info(
                    "suspect not stored",
                    extra={"subject": first, "reason": str(error.kind)},
                )
                return False

    def _delete(self, subjects: set[str]) -> None:
        match self._platform.list(SUSPECT_KIND):
            case Ok(listing):
                self._delete_records(listing.objects, subjects)
            case Err(error):
                reason = f"list: {error.kind} {error.detail}"
                log.info(
                    "suspect records not deleted",
                    extra={"subject": min(subjects), "reason": reason},
                )

    def _delete_records(
        self, objects: tuple[StoredObject, ...], subjects: set[str]
    ) -> None:
        for stored in objects:
            record = _decode_record(stored)
            if record is not None and subjects.issuperset(record.group().subjects):
                self._platform.delete(SUSPECT_KIND, stored.name, stored.version)


def _decode_record(stored: StoredObject) -> SuspectRecord | None:
    try:
        return msgspec.json.decode(stored.value, type=SuspectRecord)
    except (ValueError, RecursionError, OverflowError) as exc:
        log.warning(
            "suspect record unreadable",
            extra={"object": stored.name, "reason": str(exc)},
        )
        return None


def _object_name(group: SuspectGroup) -> str:
    """Return the name of the record of suspects with the same crashes.

    The count in it makes a call without a condition enough: hosts that know the same
    crashes create the same object, and readers merge all of a subject.
    """
    whole = "\n".join(sorted(group.subjects))
    digest = hashlib.blake2b(whole.encode(), digest_size=16).hexdigest()
    return f"{digest}-{len(group.crashes)}"
