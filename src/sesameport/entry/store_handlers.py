"""Convert objects of the platform's store into messages to the entry actor."""

from collections.abc import Callable, Iterable

import pykka
from result import Err, Ok, Result

from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.servers import EntryServer
from sesameport.interfaces import StoredObject
from sesameport.telemetry.logs import get_logger

__all__ = ["ConfigurationHandler", "EvacuationHandler", "ServerEntryHandler"]

log = get_logger("store")


class ConfigurationHandler:
    """Send each valid configuration to the actor."""

    def __init__(
        self,
        actor: pykka.ActorRef,
        name: str,
        decode: Callable[[bytes], Result[EntryConfiguration, str]],
    ):
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
                    self._actor.tell(m.ApplyConfiguration(configuration, "store"))
                case Err(reason):
                    log.error(
                        "configuration invalid; keeping the previous one",
                        extra={"revision": stored.version, "reason": reason},
                    )


class ServerEntryHandler:
    """Send the entries of backend servers to the actor."""

    def __init__(
        self,
        actor: pykka.ActorRef,
        decode: Callable[[str, bytes], Result[EntryServer, str]],
    ):
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
            if server is not None:
                self._actor.tell(m.ServersChanged(changed=(server,)))
            else:
                self._actor.tell(m.ServersChanged(removed=(stored.name,)))

    def _decode_entry(self, stored: StoredObject) -> EntryServer | None:
        match self._decode(stored.name, stored.value):
            case Ok(server):
                return server
            case Err(reason):
                log.warning(
                    "server entry ignored",
                    extra={
                        "server": stored.name,
                        "reason": reason,
                        "revision": stored.version,
                    },
                )
        return None


class EvacuationHandler:
    """Send evacuations of data centres to the actor."""

    def __init__(
        self,
        actor: pykka.ActorRef,
        decode: Callable[[str, bytes], Result[str, str]],
    ):
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
                log.warning(
                    "evacuation ignored",
                    extra={"object": stored.name, "reason": reason},
                )
        return None
