"""Convert objects of the platform's store into messages to the entry actor."""

import threading
from collections.abc import Callable, Iterable

import pykka
from result import Err, Ok, Result

from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.servers import EntryServer
from sesameport.interfaces import StoredObject
from sesameport.telemetry.logs import get_logger

__all__ = [
    "ConfigurationHandler",
    "EvacuationHandler",
    "MalformedObjects",
    "ServerEntryHandler",
]

MAX_REMEMBERED = 1_000
"""Number of malformed objects that are remembered so that each is logged once."""

MAX_REASON_CHARS = 200
"""Length of a reason in the log. It may quote an object, which may be large."""

log = get_logger("store")


class MalformedObjects:
    """Log and count each malformed object once per reason.

    A listing contains the same objects each time. Objects without a readable name count
    as one.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._lock = threading.Lock()
        self._reasons: dict[tuple[str, str], str] = {}

    def record(self, event: str, stored: StoredObject, reason: str) -> None:
        """Log an object that cannot be decoded, unless that is known."""
        key, reason = (stored.kind, stored.name), reason[:MAX_REASON_CHARS]
        with self._lock:
            if self._reasons.get(key) == reason:
                return
            self._reasons.pop(key, None)
            if len(self._reasons) >= MAX_REMEMBERED:
                del self._reasons[next(iter(self._reasons))]
            self._reasons[key] = reason
        self._metrics.count("sesameport_entry_malformed_total", kind=stored.kind)
        log.warning(
            event,
            extra={
                "kind": stored.kind,
                "object": stored.name,
                "reason": reason,
                "revision": stored.version,
            },
        )

    def clear(self, stored: StoredObject) -> None:
        """Forget an object that can be decoded, or is deleted."""
        with self._lock:
            self._reasons.pop((stored.kind, stored.name), None)


class ConfigurationHandler:
    """Send each valid configuration to the actor."""

    def __init__(
        self,
        actor: pykka.ActorRef,
        name: str,
        decode: Callable[[bytes], Result[EntryConfiguration, str]],
        malformed: MalformedObjects,
    ):
        self._malformed = malformed
        self._actor = actor
        self._name = name
        self._decode = decode

    def handle_listing(self, objects: Iterable[StoredObject]) -> None:
        """Handle a complete listing."""
        self.handle_changes(objects)

    def handle_changes(self, objects: Iterable[StoredObject]) -> None:
        """Handle changes."""
        for stored in objects:
            if stored.name != self._name or stored.deleted:
                continue
            match self._decode(stored.value):
                case Ok(configuration):
                    self._malformed.clear(stored)
                    self._actor.tell(m.ApplyConfiguration(configuration, "store"))
                case Err(reason):
                    event = "configuration invalid; keeping the previous one"
                    self._malformed.record(event, stored, reason)


class ServerEntryHandler:
    """Send the entries of backend servers to the actor."""

    def __init__(
        self,
        actor: pykka.ActorRef,
        decode: Callable[[str, bytes], Result[EntryServer, str]],
        malformed: MalformedObjects,
    ):
        self._malformed = malformed
        self._actor = actor
        self._decode = decode

    def handle_listing(self, objects: Iterable[StoredObject]) -> None:
        """Handle a complete listing."""
        entries = [self._decode_entry(stored) for stored in objects]
        servers = tuple(server for server in entries if server is not None)
        self._actor.tell(m.ServersListed(servers))

    def handle_changes(self, objects: Iterable[StoredObject]) -> None:
        """Handle changes one by one, because their order matters."""
        for stored in objects:
            server = None if stored.deleted else self._decode_entry(stored)
            if stored.deleted:
                self._malformed.clear(stored)
            if server is not None:
                self._actor.tell(m.ServersChanged(changed=(server,)))
            else:
                self._actor.tell(m.ServersChanged(removed=(stored.name,)))

    def _decode_entry(self, stored: StoredObject) -> EntryServer | None:
        match self._decode(stored.name, stored.value):
            case Ok(server):
                self._malformed.clear(stored)
                return server
            case Err(reason):
                self._malformed.record("server entry ignored", stored, reason)
        return None


class EvacuationHandler:
    """Send evacuations of data centres to the actor."""

    def __init__(
        self,
        actor: pykka.ActorRef,
        decode: Callable[[str, bytes], Result[str, str]],
        malformed: MalformedObjects,
    ):
        self._malformed = malformed
        self._actor = actor
        self._decode = decode

    def handle_listing(self, objects: Iterable[StoredObject]) -> None:
        """Handle a complete listing."""
        names = [self._decode_name(stored) for stored in objects]
        self._actor.tell(m.EvacuationsListed(tuple(name for name in names if name)))

    def handle_changes(self, objects: Iterable[StoredObject]) -> None:
        """Handle changes one by one, because their order matters."""
        for stored in objects:
            name = self._decode_name(stored)
            if name is None:
                continue
            if stored.deleted:
                self._actor.tell(m.EvacuationsChanged(removed=(name,)))
            else:
                self._actor.tell(m.EvacuationsChanged(added=(name,)))

    def _decode_name(self, stored: StoredObject) -> str | None:
        match self._decode(stored.name, stored.value):
            case Ok(name):
                return name
            case Err(reason):
                self._malformed.record("evacuation ignored", stored, reason)
        return None
