"""Call the platform's object API over HTTP."""

import base64
import json
from typing import TypeVar
from urllib.parse import quote

import msgspec
import urllib3
from result import Err, Result

from sesameport.adapters.strict_responses import StrictPoolManager
from sesameport.adapters.typed_json import decode_as
from sesameport.interfaces import (
    HostList,
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    StoredObject,
    WatchBatch,
)

__all__ = ["HttpPlatform"]

T = TypeVar("T")

_WATCH_MARGIN_S = 3.0


class _Problem(msgspec.Struct):
    detail: str = ""
    version: int = 0


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
        return self._call(StoredObject, "GET", self._path(kind, name))

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of one kind, tombstones included."""
        return self._call(ObjectList, "GET", self._path(kind))

    def create(
        self, kind: str, name: str, value: bytes
    ) -> Result[StoredObject, PlatformError]:
        """Create an object unless one with this name exists."""
        path = self._path(kind, name)
        headers = {"If-None-Match": "*"}
        return self._call(StoredObject, "PUT", path, value, headers)

    def update(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object if its current version equals the given one."""
        path = self._path(kind, name)
        headers = {"If-Match": str(version)}
        return self._call(StoredObject, "PUT", path, value, headers)

    def delete(
        self, kind: str, name: str, version: int
    ) -> Result[StoredObject, PlatformError]:
        """Replace an object by a tombstone if its version equals the given one."""
        path = self._path(kind, name)
        headers = {"If-Match": str(version)}
        return self._call(StoredObject, "DELETE", path, b"", headers)

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait for changes to objects of one kind after a version."""
        path = f"{self._path(kind)}?watch={version}&timeout={timeout_s}"
        read_timeout_s = timeout_s + _WATCH_MARGIN_S
        return self._call(WatchBatch, "GET", path, timeout_s=read_timeout_s)

    def hosts(self) -> Result[HostList, PlatformError]:
        """Read the list of hosts and backend servers, which may be out of date."""
        return self._call(HostList, "GET", "/v1/hosts")

    def _path(self, *parts: str) -> str:
        return "/v1/objects/" + "/".join(quote(part, safe="") for part in parts)

    def _call(
        self, kind: type[T], method, path, value=None, headers=None, timeout_s=None
    ) -> Result[T, PlatformError]:
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
        except (urllib3.exceptions.NewConnectionError, ConnectionRefusedError) as exc:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, str(exc)))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            return Err(_unanswered(method, str(exc)))
        if response.status >= 300:
            return Err(_to_error(response.status, response.data))
        return decode_as(response.data, kind).map_err(
            lambda reason: _unanswered(method, reason)
        )


_ERROR_KINDS = {
    404: PlatformErrorKind.NOT_FOUND,
    409: PlatformErrorKind.CONFLICT,
    410: PlatformErrorKind.GONE,
    412: PlatformErrorKind.EXISTS,
    503: PlatformErrorKind.UNAVAILABLE,
}


def _unanswered(method: str, detail: str) -> PlatformError:
    """Return the failure of a call without an answer, or with one that is none."""
    kind = PlatformErrorKind.UNKNOWN
    if method == "GET":
        kind = PlatformErrorKind.UNAVAILABLE
    return PlatformError(kind, detail)


def _to_error(status: int, data: bytes) -> PlatformError:
    if status >= 500 and status != 503:
        return PlatformError(PlatformErrorKind.UNKNOWN, f"status {status}")
    problem = decode_as(data or b"{}", _Problem).unwrap_or(_Problem())
    kind = _ERROR_KINDS.get(status, PlatformErrorKind.INVALID)
    return PlatformError(kind, problem.detail, problem.version)
