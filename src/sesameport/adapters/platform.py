"""Call the platform's object API over HTTP."""

import base64
import json
from urllib.parse import quote

import cattrs
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.strict_responses import StrictPoolManager
from sesameport.interfaces import (
    HostList,
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    StoredObject,
    WatchBatch,
)

__all__ = ["HttpPlatform"]

_WATCH_MARGIN_S = 3.0
_CONVERTER = cattrs.Converter()


class HttpPlatform:
    """Call the platform's object API; satisfies ``interfaces.Platform``.

    Parameters
    ----------
    url : str
        Base URL, for example ``http://127.0.0.1:7000``.
    timeout_s : float
        Timeout of each call except a watch, seconds.
    connections : int
        Number of pooled connections. More calls than this open extra connections.
    """

    def __init__(self, url: str, timeout_s: float = 2.0, connections: int = 8):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._http = StrictPoolManager(maxsize=connections, block=False)

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformError]:
        """Read one object."""
        return self._call("GET", self._path(kind, name)).map(_parse_object)

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of one kind, tombstones included."""
        return self._call("GET", self._path(kind)).map(_parse_object_list)

    def create(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, PlatformError]:
        """Create an object unless one with this name exists."""
        path = self._path(kind, name)
        return self._call("PUT", path, value, {"If-None-Match": "*"}).map(_parse_object)

    def update(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its current version equals the given one."""
        path = self._path(kind, name)
        return self._call("PUT", path, value, {"If-Match": str(version)}).map(
            _parse_object
        )

    def delete(
        self, kind: str, name: str, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object by a tombstone if its version equals the given one."""
        path = self._path(kind, name)
        headers = {"If-Match": str(version)}
        return self._call("DELETE", path, b"", headers).map(_parse_object)

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait for changes to objects of one kind after a version."""
        path = f"{self._path(kind)}?watch={version}&timeout={timeout_s}"
        read_timeout_s = timeout_s + _WATCH_MARGIN_S
        return self._call("GET", path, timeout_s=read_timeout_s).map(_parse_watch_batch)

    def hosts(self) -> Result[HostList, PlatformError]:
        """Read the list of hosts and backend servers, which may be out of date."""
        result = self._call("GET", "/v1/hosts")
        return result.map(lambda body: _CONVERTER.structure(body, HostList))

    def _path(self, *parts: str) -> str:
        return "/v1/objects/" + "/".join(quote(part, safe="") for part in parts)

    def _call(
        self, method, path, value=None, headers=None, timeout_s=None
    ) -> Result[dict, PlatformError]:
        body = None
        if value is not None:
            body = json.dumps({"value": base64.b64encode(value).decode()}).encode()
        try:
            response = self._http.request(
                method,
                self._url + path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=self._timeout_s, read=timeout_s or self._timeout_s
                ),
                retries=False,
            )
            return _to_result(response.status, response.data)
        except (urllib3.exceptions.NewConnectionError, ConnectionRefusedError) as exc:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, str(exc)))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            kind = PlatformErrorKind.UNKNOWN
            if method == "GET":
                kind = PlatformErrorKind.UNAVAILABLE
            return Err(PlatformError(kind, str(exc)))


_ERROR_KINDS = {
    404: PlatformErrorKind.NOT_FOUND,
    409: PlatformErrorKind.CONFLICT,
    410: PlatformErrorKind.GONE,
    412: PlatformErrorKind.EXISTS,
    503: PlatformErrorKind.UNAVAILABLE,
}


def _to_result(status: int, data: bytes) -> Result[dict, PlatformError]:
    if status < 300:
        return Ok(json.loads(data))
    if status >= 500 and status != 503:
        return Err(PlatformError(PlatformErrorKind.UNKNOWN, f"status {status}"))
    kind = _ERROR_KINDS.get(status, PlatformErrorKind.INVALID)
    body = json.loads(data) if data else {}
    return Err(PlatformError(kind, body.get("detail", ""), body.get("version", 0)))


def _parse_object(body: dict) -> StoredObject:
    return StoredObject(
        body["kind"],
        body["name"],
        body["version"],
        base64.b64decode(body["value"]),
        body["deleted"],
    )


def _parse_object_list(body: dict) -> ObjectList:
    return ObjectList(
        tuple(_parse_object(obj) for obj in body["objects"]), body["version"]
    )


def _parse_watch_batch(body: dict) -> WatchBatch:
    return WatchBatch(
        tuple(_parse_object(obj) for obj in body["changes"]), body["version"]
    )
