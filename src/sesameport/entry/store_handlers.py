"""Convert objects of the platform's store into messages to the entry actor."""

from collections.abc import Callable, Iterable

import msgspec
import pykka
from result import Err, Ok, Result

from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.servers import EntryServer
from sesameport.interfaces import Platform, PlatformErrorKind, StoredObject
from sesameport.telemetry.logs import get_logger

__all__ = [
    "HOST_KIND",
    "ConfigurationHandler",
    "HostRegistrationHandler",
    "ServerEntryHandler",
    "register_host",
]

HOST_KIND = "entry-hosts"
"""Kind of the router's own objects, which hold the peer address of each host."""

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


class HostRegistrationHandler:
    """Track the registrations of hosts and send their peer addresses to the actor."""

    def __init__(self, actor: pykka.ActorRef):
        self._actor = actor
        self._addresses: dict[str, str] = {}
        self._versions: dict[str, int] = {}

    def handle_listing(self, objects: Iterable[StoredObject]) -> None:
        """Handle a complete listing."""
        self._addresses = {}
        self._versions = {}
        self.handle_changes(objects)

    def handle_changes(self, objects: Iterable[StoredObject]) -> None:
        """Handle changes."""
        for stored in objects:
            address = None if stored.deleted else _decode_address(stored.value)
            self._versions[stored.name] = stored.version
            if address is None:
                self._addresses.pop(stored.name, None)
            else:
                self._addresses[stored.name] = address
        self._actor.tell(m.HostsChanged(dict(self._addresses)))

    def is_registered(self, name: str) -> bool:
        """Return whether a host was registered at the last update."""
        return name in self._addresses

    def delete(self, platform: Platform, name: str) -> None:
        """Delete a registration unless its host has written it again since."""
        version = self._versions.get(name)
        if version is None:
            return
        result = platform.delete(HOST_KIND, name, version)
        outcome = "deleted" if result.is_ok() else str(result.unwrap_err().kind)
        log.info("host registration", extra={"peer": name, "outcome": outcome})


def _decode_address(value: bytes) -> str | None:
    try:
        record = msgspec.json.decode(value)
    except msgspec.DecodeError:
        return None
    address = record.get("address") if isinstance(record, dict) else None
    return address if isinstance(address, str) else None


def register_host(platform: Platform, name: str, address: str) -> Result[bool, str]:
    """Register the peer address of a host; return Ok, or an Err with the reason."""
    value = msgspec.json.encode({"address": address})
    match platform.create(HOST_KIND, name, value):
        case Ok(_):
            return Ok(True)
        case Err(error) if error.kind != PlatformErrorKind.EXISTS:
            return Err(f"create: {error.kind} {error.detail}")
    match platform.get(HOST_KIND, name):
        case Err(error):
            return Err(f"get: {error.kind} {error.detail}")
        case Ok(stored):
            pass
    if _decode_address(stored.value) == address:
        return Ok(True)
    match platform.update(HOST_KIND, name, value, stored.version):
        case Ok(_):
            return Ok(True)
        case Err(error):
            return Err(f"update: {error.kind} {error.detail}")
