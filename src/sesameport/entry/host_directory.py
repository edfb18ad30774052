"""Register a host in the platform's store and find the other hosts there.

Each call to the store costs money, and watching the registrations would cost every host
a call for each host that starts. A host therefore registers and then lists the
registrations once. It connects to the hosts that it finds and announces its address to
them (see `sesameport.entry.peers`). Of two hosts that start at the same time, the one
that lists later finds the other.
"""

import threading
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from sesameport.entry import messages as m
from sesameport.entry.host_addresses import is_address
from sesameport.interfaces import Platform, PlatformErrorKind, StoredObject
from sesameport.telemetry.logs import get_logger

__all__ = ["HOST_KIND", "HostDirectory"]

HOST_KIND = "entry-hosts"
"""Kind of the router's own objects, which hold the peer address of each host."""

log = get_logger("host")


class HostDirectory:
    """Keep the registration of one host and the addresses of the others.

    Parameters
    ----------
    platform : Platform
        The store.
    name, address : str
        Name and peer address of this host.
    tell : callable
        Sends a message to the entry actor.
    """

    def __init__(
        self,
        platform: Platform,
        name: str,
        address: str,
        tell: Callable[[object], None],
    ):
        self._platform = platform
        self._name = name
        self._address = address
        self._tell = tell
        self._lock = threading.Lock()
        self._registrations: dict[str, StoredObject] = {}
        self._unreadable: list[str] = []

    def host_count(self) -> int:
        """Return the number of hosts in the last listing."""
        return len(self._registrations)

    def join(self) -> bool:
        """Register this host and list the others; return whether both succeeded."""
        with self._lock:
            return self._register() and self._refresh()

    def clean_up(self, find_expired: Callable[[], tuple[str, ...]]) -> None:
        """List the hosts, and delete the registrations of expired ones.

        Other hosts delete the registration of a host that is cut off for a long time.
        A host whose registration is missing registers again.
        """
        with self._lock:
            if not self._refresh():
                return
            if self._name not in self._registrations:
                self._register()
            for name in find_expired():
                self._delete(name)

    def _register(self) -> bool:
        value = msgspec.json.encode({"address": self._address})
        match self._platform.create(HOST_KIND, self._name, value):
            case Ok(_):
                log.info("host registered", extra={"address": self._address})
                return True
            case Err(error) if error.kind == PlatformErrorKind.EXISTS:
                return True
            case Err(error):
                reason = f"create: {error.kind} {error.detail}"
                log.info("host not registered yet", extra={"reason": reason})
                return False

    def _refresh(self) -> bool:
        match self._platform.list(HOST_KIND):
            case Err(error):
                reason = f"list: {error.kind} {error.detail}"
                log.info("hosts not listed", extra={"reason": reason})
                return False
            case Ok(listing):
                pass
        # An object whose name cannot be read is no host.
        named = [stored for stored in listing.objects if stored.name]
        self._registrations = {stored.name: stored for stored in named}
        own = self._registrations.get(self._name)
        if own is not None and _decode_address(own.value) != self._address:
            match self._update(own):
                case Err(reason):
                    log.info("host not registered yet", extra={"reason": reason})
                    return False
        addresses = {
            name: _decode_address(stored.value)
            for name, stored in self._registrations.items()
        }
        addresses[self._name] = self._address
        known = {name: address for name, address in addresses.items() if address}
        unreadable = sorted(addresses.keys() - known.keys())
        if unreadable != self._unreadable:
            self._unreadable = unreadable
            names = ",".join(unreadable)
            log.warning("host registrations ignored", extra={"object": names})
        self._tell(m.HostsChanged(known))
        return True

    def _update(self, own: StoredObject) -> Result[None, str]:
        """Replace the address of an earlier process on this host."""
        value = msgspec.json.encode({"address": self._address})
        match self._platform.update(HOST_KIND, self._name, value, own.version):
            case Ok(_):
                log.info("host registered", extra={"address": self._address})
                return Ok(None)
            case Err(error):
                return Err(f"update: {error.kind} {error.detail}")

    def _delete(self, name: str) -> None:
        """Delete a registration unless its host has written it again since."""
        stored = self._registrations.get(name)
        if stored is None:
            return
        result = self._platform.delete(HOST_KIND, name, stored.version)
        outcome = "deleted" if result.is_ok() else str(result.unwrap_err().kind)
        log.info("host registration", extra={"peer": name, "outcome": outcome})


def _decode_address(value: bytes) -> str | None:
    try:
        record = msgspec.json.decode(value)
    except (ValueError, RecursionError, OverflowError):
        return None
    address = record.get("address") if isinstance(record, dict) else None
    return address if is_address(address) else None
