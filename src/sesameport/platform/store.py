"""Reach the object store of the users' platform; satisfies ``interfaces.Platform``."""

import socket
from urllib.parse import quote

import msgspec
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.sockets import KEEPALIVE_OPTIONS
from sesameport.interfaces import (
    HostList,
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    StoredObject,
    WatchBatch,
)

__all__ = ["ObjectStore"]

WATCH_MARGIN_S = 2.0
"""Time beyond a watch's own timeout for its answer to arrive, seconds."""

_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1), *KEEPALIVE_OPTIONS]


class ObjectStore:
    """Call the platform's object store.

    The value of an object is its ``spec`` as JSON. Every call but a watch ends within
    ``timeout_s``; keep-alive probes end a watch whose connection went silent.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    timeout_s : float
        Bound of one call, seconds.
    """

    def __init__(self, address: str, timeout_s: float = 1.0):
        host, _, port = address.rpartition(":")
        self._timeout_s = timeout_s
        self._http = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=4, retries=False, socket_options=_OPTIONS
        )

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        return self._call("GET", self._path(kind, name)).and_then(
            lambda body: _stored(kind, body)
        )

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of one kind, page by page."""
        found, after, version = [], "", None
        while True:
            path = self._path(kind) + (
                f"?after={quote(after, safe='')}" if after else ""
            )
            match self._call("GET", path):
                case Err(error):
                    return Err(error)
                case Ok(body):
                    pass
            items = body.get("items")
            at = body.get("at")
            if not isinstance(items, list) or not isinstance(at, int):
                return Err(_invalid("a list without items or revision"))
            # Pages are read one after the other: the first revision is the one from
            # which a watch misses nothing.
            version = at if version is None else min(version, at)
            for item in items:
                match _stored(kind, item):
                    case Ok(stored):
                        found.append(stored)
            if not body.get("hasMore") or not items:
                return Ok(ObjectList(tuple(found), version))
            name = _name_of(items[-1])
            if not name or name == after:
                return Err(_invalid("a page whose last object has no name"))
            after = name

    def create(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, PlatformError]:
        """Create an object if none of this name exists."""
        body = {"metadata": {"name": name}, "spec": msgspec.Raw(value)}
        answer = self._call("POST", self._path(kind), body)
        match answer:
            case Err(error) if error.kind == PlatformErrorKind.CONFLICT:
                exists = PlatformErrorKind.EXISTS
                return Err(PlatformError(exists, error.detail, error.current_version))
        return answer.and_then(lambda found: _stored(kind, found, name, value))

    def update(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if it still has the given version."""
        body = {
            "metadata": {"name": name, "revision": version, "finalizers": []},
            "spec": msgspec.Raw(value),
        }
        answer = self._call("PUT", self._path(kind, name), body)
        return answer.and_then(lambda found: _stored(kind, found, name, value))

    def delete(
        self, kind: str, name: str, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Delete an object if it still has the given version."""
        path = f"{self._path(kind, name)}?revision={version}"
        answer = self._call("DELETE", path)
        return answer.map(lambda _: StoredObject(kind, name, version, b"", True))

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait for changes of one kind after a version."""
        wait_ms = int(timeout_s * 1000)
        path = f"{self._path(kind)}?watch={version}&waitMs={wait_ms}"
        return self._call("GET", path, timeout_s=timeout_s + WATCH_MARGIN_S).and_then(
            lambda body: _watch_batch(kind, body)
        )

    def hosts(self) -> Result[HostList, PlatformError]:
        """Return no list: hosts and servers are objects that are watched."""
        return Err(_invalid("the store has no list of hosts"))

    def _path(self, *parts: str) -> str:
        return "/v1/objects/" + "/".join(quote(part, safe="") for part in parts)

    def _call(
        self, method: str, path: str, body=None, timeout_s: float | None = None
    ) -> Result[dict, PlatformError]:
        data = None if body is None else msgspec.json.encode(body)
        headers = {"Content-Type": "application/json"} if data else {}
        try:
            answer = self._http.urlopen(
                method,
                path,
                body=data,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self._timeout_s, read=timeout_s or self._timeout_s
                ),
                retries=False,
                redirect=False,
            )
            return _to_result(answer.status, answer.data)
        except urllib3.exceptions.NewConnectionError as exc:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, str(exc)))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            kind = PlatformErrorKind.UNKNOWN
            if method == "GET":
                kind = PlatformErrorKind.UNAVAILABLE
            return Err(PlatformError(kind, str(exc)))


_ERROR_KINDS = {
    404: PlatformErrorKind.NOT_FOUND,
    409: PlatformErrorKind.CONFLICT,
    410: PlatformErrorKind.GONE,
    429: PlatformErrorKind.UNAVAILABLE,
    503: PlatformErrorKind.UNAVAILABLE,
}


def _to_result(status: int, data: bytes) -> Result[dict, PlatformError]:
    try:
        body = msgspec.json.decode(data) if data else {}
    except msgspec.DecodeError as exc:
        body = None
        detail = str(exc)
    if not isinstance(body, dict):
        if 200 <= status < 300:
            return Err(_invalid("an answer that is no object"))
        body, detail = {}, "an unreadable error"
    if 200 <= status < 300:
        return Ok(body)
    kind = _ERROR_KINDS.get(status, PlatformErrorKind.INVALID)
    if status >= 500 and status != 503:
        kind = PlatformErrorKind.UNKNOWN
    detail = f"status {status}"
    return Err(PlatformError(kind, detail, _revision_of(body)))


def _invalid(detail: str) -> PlatformError:
    return PlatformError(PlatformErrorKind.INVALID, detail)


def _name_of(item) -> str:
    metadata = item.get("metadata") if isinstance(item, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _revision_of(item) -> int:
    metadata = item.get("metadata") if isinstance(item, dict) else None
    revision = metadata.get("revision") if isinstance(metadata, dict) else None
    return revision if isinstance(revision, int) else 0


def _stored(
    kind: str, item, name: str = "", value: bytes | None = None
) -> Result[StoredObject, PlatformError]:
    name = _name_of(item) or name
    if not name:
        return Err(_invalid("an object without a name"))
    if value is None:
        value = msgspec.json.encode(item.get("spec"))
    return Ok(StoredObject(kind, name, _revision_of(item), value))


def _watch_batch(kind: str, body: dict) -> Result[WatchBatch, PlatformError]:
    events, at = body.get("events"), body.get("at")
    if not isinstance(events, list) or not isinstance(at, int):
        return Err(_invalid("a watch without events or revision"))
    changes = []
    for event in events:
        if not isinstance(event, dict):
            continue
        match _stored(kind, event.get("object") or {}):
            case Ok(stored):
                deleted = event.get("deleted") is True
                changes.append(
                    StoredObject(
                        kind, stored.name, stored.version, stored.value, deleted
                    )
                )
    return Ok(WatchBatch(tuple(changes), at))
