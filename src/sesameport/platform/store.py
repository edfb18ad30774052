"""Access the object store of the users' platform.

``ObjectStoreClient`` implements the protocol ``Platform`` of ``sesameport.interfaces``.
"""

import socket
from urllib.parse import quote

import msgspec
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.cancellable_socket import Account
from sesameport.adapters.sockets import KEEPALIVE_OPTIONS
from sesameport.adapters.strict_responses import StrictConnectionPool
from sesameport.interfaces import (
    HostList,
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    StoredObject,
    WatchBatch,
)

__all__ = ["ObjectStoreClient"]

WATCH_RESPONSE_MARGIN_S = 2.0
"""Extra read timeout for the response of a watch that ran to its end, seconds."""

MAX_RESPONSE_BYTES = 16_777_216
"""Largest response, bytes. A page of a list has some hundred objects of about 1 KB."""

READ_BYTES = 65_536
"""Step in which a response is read and charged, bytes."""

_SOCKET_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1), *KEEPALIVE_OPTIONS]


class ObjectStoreClient:
    """Read, write and watch objects in the platform's store.

    The value of an object is its ``spec`` as JSON. Connecting and each read from the
    socket time out after ``timeout_s``. A watch waits longer; TCP keep-alive ends it if
    its connection goes silent.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    timeout_s : float
        Timeout of one call, seconds.
    account : Account or None
        Memory that responses are charged to while they are read and decoded.
    """

    def __init__(
        self, address: str, timeout_s: float = 1.0, account: Account | None = None
    ):
        self._account = account
        host, _, port = address.rpartition(":")
        self._timeout_s = timeout_s
        self._pool = StrictConnectionPool(
            host, int(port), maxsize=4, retries=False, socket_options=_SOCKET_OPTIONS
        )

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Return one object."""
        return self._request("GET", self._path(kind, name)).and_then(
            lambda body: _to_stored_object(kind, body)
        )

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Return all objects of one kind, read page by page."""
        objects, after, version = [], "", None
        while True:
            path = self._path(kind) + (
                f"?after={quote(after, safe='')}" if after else ""
            )
            match self._request("GET", path):
                case Err(error):
                    return Err(error)
                case Ok(body):
                    pass
            items = body.get("items")
            revision = body.get("at")
            if not isinstance(items, list) or not isinstance(revision, int):
                return Err(_invalid_response("list response without items or revision"))
            # Objects may change between two pages. Only a watch from the lowest
            # revision reports all of these changes.
            version = revision if version is None else min(version, revision)
            for item in items:
                match _to_stored_object(kind, item):
                    case Ok(stored):
                        objects.append(stored)
            if not body.get("hasMore") or not items:
                return Ok(ObjectList(tuple(objects), version))
            name = _object_name(items[-1])
            if not name or name == after:
                return Err(
                    _invalid_response(
                        "page whose last object has no name or repeats the page before"
                    )
                )
            after = name

    def create(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, PlatformError]:
        """Create an object if no object with this name exists."""
        body = {"metadata": {"name": name}, "spec": msgspec.Raw(value)}
        response = self._request("POST", self._path(kind), body)
        match response:
            case Err(error) if error.kind == PlatformErrorKind.CONFLICT:
                exists = PlatformErrorKind.EXISTS
                return Err(PlatformError(exists, error.detail, error.current_version))
        return response.and_then(
            lambda body: _to_stored_object(kind, body, name, value)
        )

    def update(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its version is still the given one."""
        body = {
            "metadata": {"name": name, "revision": version, "finalizers": []},
            "spec": msgspec.Raw(value),
        }
        response = self._request("PUT", self._path(kind, name), body)
        return response.and_then(
            lambda body: _to_stored_object(kind, body, name, value)
        )

    def delete(
        self, kind: str, name: str, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Delete an object if its version is still the given one."""
        path = f"{self._path(kind, name)}?revision={version}"
        response = self._request("DELETE", path)
        return response.map(lambda _: StoredObject(kind, name, version, b"", True))

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Return the changes of one kind after a version.

        If there are none yet, wait up to ``timeout_s`` for one.
        """
        wait_ms = int(timeout_s * 1000)
        path = f"{self._path(kind)}?watch={version}&waitMs={wait_ms}"
        return self._request(
            "GET", path, timeout_s=timeout_s + WATCH_RESPONSE_MARGIN_S
        ).and_then(lambda body: _to_watch_batch(kind, body))

    def hosts(self) -> Result[HostList, PlatformError]:
        """Return an Err: the store has no host list.

        Hosts and servers are objects, which are watched instead.
        """
        return Err(_invalid_response("the store has no host list"))

    def _path(self, *parts: str) -> str:
        return "/v1/objects/" + "/".join(quote(part, safe="") for part in parts)

    def _request(
        self, method: str, path: str, body=None, timeout_s: float | None = None
    ) -> Result[dict, PlatformError]:
        data = None if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if data else {}
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=data,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self._timeout_s, read=timeout_s or self._timeout_s
                ),
                retries=False,
                redirect=False,
                preload_content=False,
            )
            return self._read(response)
        except urllib3.exceptions.NewConnectionError as exc:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, str(exc)))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            kind = PlatformErrorKind.UNKNOWN
            if method == "GET":
                kind = PlatformErrorKind.UNAVAILABLE
            return Err(PlatformError(kind, str(exc)))

    def _read(self, response) -> Result[dict, PlatformError]:
        """Read and decode a response, and hold its memory in the account meanwhile."""
        parts, size, charged = [], 0, 0
        try:
            for part in response.stream(READ_BYTES, decode_content=False):
                parts.append(part)
                size += len(part)
                # The first part is not charged, as most responses have no other.
                if size > READ_BYTES + charged:
                    if size > MAX_RESPONSE_BYTES or not self._charge():
                        detail = f"no memory for a response of {size} bytes or more"
                        raise OSError(detail)
                    charged += READ_BYTES
            return _decode_response(response.status, b"".join(parts))
        except BaseException:
            response.close()
            raise
        finally:
            if charged and self._account:
                self._account.release(charged)

    def _charge(self) -> bool:
        return self._account is None or self._account.charge_open(READ_BYTES)


_ERROR_KIND_BY_STATUS = {
    404: PlatformErrorKind.NOT_FOUND,
    409: PlatformErrorKind.CONFLICT,
    410: PlatformErrorKind.GONE,
    429: PlatformErrorKind.UNAVAILABLE,
    503: PlatformErrorKind.UNAVAILABLE,
}


def _decode_response(status: int, data: bytes) -> Result[dict, PlatformError]:
    try:
        body = msgspec.json.decode(data) if data else {}
    except msgspec.DecodeError as exc:
        body = None
        detail = str(exc)
    if not isinstance(body, dict):
        if 200 <= status < 300:
            return Err(_invalid_response("response is not a JSON object"))
        body, detail = {}, "error response is not a JSON object"
    if 200 <= status < 300:
        return Ok(body)
    kind = _ERROR_KIND_BY_STATUS.get(status, PlatformErrorKind.INVALID)
    if status >= 500 and status != 503:
        kind = PlatformErrorKind.UNKNOWN
    detail = f"status {status}"
    return Err(PlatformError(kind, detail, _object_revision(body)))


def _invalid_response(detail: str) -> PlatformError:
    return PlatformError(PlatformErrorKind.INVALID, detail)


def _object_name(item) -> str:
    metadata = item.get("metadata") if isinstance(item, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _object_revision(item) -> int:
    metadata = item.get("metadata") if isinstance(item, dict) else None
    revision = metadata.get("revision") if isinstance(metadata, dict) else None
    return revision if isinstance(revision, int) else 0


def _to_stored_object(
    kind: str, item, name: str = "", value: bytes | None = None
) -> Result[StoredObject, PlatformError]:
    name = _object_name(item) or name
    if not name:
        return Err(_invalid_response("object without a name"))
    if value is None:
        value = msgspec.json.encode(item.get("spec"))
    return Ok(StoredObject(kind, name, _object_revision(item), value))


def _to_watch_batch(kind: str, body: dict) -> Result[WatchBatch, PlatformError]:
    events, revision = body.get("events"), body.get("at")
    if not isinstance(events, list) or not isinstance(revision, int):
        return Err(_invalid_response("watch response without events or revision"))
    changes = []
    for event in events:
        if not isinstance(event, dict):
            continue
        match _to_stored_object(kind, event.get("object") or {}):
            case Ok(stored):
                deleted = event.get("deleted") is True
                changes.append(
                    StoredObject(
                        kind, stored.name, stored.version, stored.value, deleted
                    )
                )
    return Ok(WatchBatch(tuple(changes), revision))
