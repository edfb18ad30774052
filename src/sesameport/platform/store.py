"""Access the object store of the users' platform.

``ObjectStoreClient`` implements the protocol ``Platform`` of ``sesameport.interfaces``.
"""

import socket
from urllib.parse import quote

import attrs
import msgspec
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.cancellable_socket import Account
from sesameport.adapters.sockets import KEEPALIVE_OPTIONS
from sesameport.adapters.strict_responses import StrictConnectionPool
from sesameport.entry.store_era import StoreEra
from sesameport.interfaces import (
    EraObject,
    HostList,
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    StoredObject,
    WatchBatch,
)
from sesameport.platform import header_names
from sesameport.platform.json_members import (
    compact_json,
    decode_json,
    split_array,
    split_object,
)

__all__ = ["ObjectStoreClient"]

WATCH_RESPONSE_MARGIN_S = 2.0
"""Extra read timeout for the response of a watch that ran to its end, seconds."""

MAX_RESPONSE_BYTES = 16_777_216
"""Largest response, bytes. A page of a list has some hundred objects of about 1 KB."""

READ_BYTES = 65_536
"""Step in which a response is read and charged, bytes."""

MAX_ERA_DIGITS = 15
"""Longest era that is read."""

_SOCKET_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1), *KEEPALIVE_OPTIONS]


@attrs.frozen
class _Answer:
    """Represent the members of the body of a response as JSON, and its era."""

    members: dict[str, bytes]
    era: int


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
    era : StoreEra or None
        Gets the era of each response, and says which responses still hold.
    """

    def __init__(
        self,
        address: str,
        timeout_s: float = 1.0,
        account: Account | None = None,
        era: StoreEra | None = None,
    ):
        self._account = account
        self._era = era or StoreEra()
        host, _, port = address.rpartition(":")
        self._timeout_s = timeout_s
        self._pool = StrictConnectionPool(
            host, int(port), maxsize=4, retries=False, socket_options=_SOCKET_OPTIONS
        )

    def get(self, kind: str, name: str) -> Result[EraObject, PlatformError]:
        """Return one object."""
        return self._request("GET", self._path(kind, name)).and_then(
            lambda answer: _to_stored_object(kind, answer, name)
        )

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Return all objects of one kind, read page by page."""
        objects, after, version, era = [], "", None, None
        while True:
            path = self._path(kind) + (
                f"?after={quote(after, safe='')}" if after else ""
            )
            match self._request("GET", path):
                case Err(error):
                    return Err(error)
                case Ok(answer):
                    body = answer.members
            if era not in (None, answer.era):
                detail = "the era changed between two pages"
                return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, detail))
            era = answer.era
            items = split_array(body.get("items", b"")).unwrap_or(None)
            revision = _revision(body, "at")
            if items is None or revision is None:
                return Err(_invalid_response("list response without items or revision"))
            # Objects may change between two pages. Only a watch from the lowest
            # revision reports all of these changes.
            version = revision if version is None else min(version, revision)
            page = [_to_entry(kind, item) for item in items]
            objects.extend(page)
            if not _value(body, "hasMore") or not page:
                return Ok(ObjectList(tuple(objects), version, era))
            # Objects without a readable name at the end of the page are read again.
            names = [stored.name for stored in page if stored.name]
            if not names or names[-1] == after:
                return Err(
                    _invalid_response("page without a name, or that repeats another")
                )
            after = names[-1]

    def create(
        self, kind: str, name: str, value: bytes
    ) -> Result[EraObject, PlatformError]:
        """Create an object if no object with this name exists."""
        body = {"metadata": {"name": name}, "spec": msgspec.Raw(value)}
        response = self._request("POST", self._path(kind), body)
        match response:
            case Err(error) if error.kind == PlatformErrorKind.CONFLICT:
                return Err(attrs.evolve(error, kind=PlatformErrorKind.EXISTS))
        return response.and_then(
            lambda answer: _to_stored_object(kind, answer, name, value)
        )

    def update(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[EraObject, PlatformError]:
        """Replace an object if its version is still the given one."""
        body = {
            "metadata": {"name": name, "revision": version, "finalizers": []},
            "spec": msgspec.Raw(value),
        }
        response = self._request("PUT", self._path(kind, name), body)
        return response.and_then(
            lambda answer: _to_stored_object(kind, answer, name, value)
        )

    def delete(
        self, kind: str, name: str, version: int
    ) -> Result[EraObject, PlatformError]:
        """Delete an object if its version is still the given one."""
        path = f"{self._path(kind, name)}?revision={version}"
        response = self._request("DELETE", path)
        return response.map(
            lambda answer: EraObject(kind, name, version, b"", True, answer.era)
        )

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
        ).and_then(lambda answer: _to_watch_batch(kind, answer))

    def hosts(self) -> Result[HostList, PlatformError]:
        """Return an Err: the store has no host list.

        Hosts and servers are objects, which are watched instead.
        """
        return Err(_invalid_response("the store has no host list"))

    def _path(self, *parts: str) -> str:
        return "/v1/objects/" + "/".join(quote(part, safe="") for part in parts)

    def _request(
        self, method: str, path: str, body=None, timeout_s: float | None = None
    ) -> Result[_Answer, PlatformError]:
        data = None if body is None else msgspec.json.encode(body)
        called_at = self._era.now()
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
            era = _decode_era(response.headers.get(header_names.STORE_ERA))
            result = self._read(response, era)
        except urllib3.exceptions.NewConnectionError as exc:
            return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, str(exc)))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(PlatformError(_unanswered_kind(method), str(exc)))
        if era == 0 and response.status >= 400:
            return result  # what turns a call away need not be the store itself
        if not self._era.accept(era, called_at):
            detail = f"answer of the earlier era {era}"
            return Err(PlatformError(_unanswered_kind(method), detail))
        return result

    def _read(self, response, era: int) -> Result[_Answer, PlatformError]:
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
            return _decode_response(response.status, b"".join(parts), era)
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


def _unanswered_kind(method: str) -> PlatformErrorKind:
    """Return the kind of failure of a call whose answer is lost or does not hold."""
    if method == "GET":
        return PlatformErrorKind.UNAVAILABLE
    return PlatformErrorKind.UNKNOWN


def _decode_era(text: str | None) -> int:
    """Return the era that a response states, 0 without one or if it is no number."""
    text = (text or "").strip()
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_number else 0


def _decode_response(
    status: int, data: bytes, era: int = 0
) -> Result[_Answer, PlatformError]:
    """Return the members of the body of a response, each of them as JSON."""
    body = split_object(data or b"{}")
    if 200 <= status < 300:
        return body.map(lambda members: _Answer(members, era)).map_err(
            lambda reason: _invalid_response(f"response is not an object: {reason}")
        )
    kind = _ERROR_KIND_BY_STATUS.get(status, PlatformErrorKind.INVALID)
    if status >= 500 and status != 503:
        kind = PlatformErrorKind.UNKNOWN
    revision = _object_revision(body.unwrap_or({}))
    return Err(PlatformError(kind, f"status {status}", revision, era))


def _invalid_response(detail: str) -> PlatformError:
    return PlatformError(PlatformErrorKind.INVALID, detail)


def _value(members: dict[str, bytes], name: str):
    """Return a decoded member, None if it is missing or cannot be decoded."""
    return decode_json(members.get(name, b"null")).unwrap_or(None)


def _revision(members: dict[str, bytes], name: str) -> int | None:
    """Return a member that is a revision, None if it is none."""
    revision = _value(members, name)
    return revision if type(revision) is int and revision >= 0 else None


def _metadata(item: dict[str, bytes]) -> dict[str, bytes]:
    return split_object(item.get("metadata", b"")).unwrap_or({})


def _object_name(item: dict[str, bytes]) -> str:
    name = _value(_metadata(item), "name")
    return name if isinstance(name, str) else ""


def _object_revision(item: dict[str, bytes]) -> int:
    return _revision(_metadata(item), "revision") or 0


def _to_stored_object(
    kind: str, answer: _Answer, name: str, value: bytes | None = None
) -> Result[EraObject, PlatformError]:
    """Return the object of a response about one object."""
    item = answer.members
    if value is None:
        value = compact_json(item.get("spec", b"null"))
    name = _object_name(item) or name
    revision = _object_revision(item)
    return Ok(EraObject(kind, name, revision, value, era=answer.era))


def _to_entry(kind: str, item: bytes, deleted: bool = False) -> StoredObject:
    """Return an object of a listing or a watch.

    An object that cannot be read has no name or no value, and its decoder rejects it.
    """
    members = split_object(item).unwrap_or({})
    name, revision = _object_name(members), _object_revision(members)
    value = compact_json(members.get("spec", b""))
    return StoredObject(kind, name, revision, value, deleted)


def _to_watch_batch(kind: str, answer: _Answer) -> Result[WatchBatch, PlatformError]:
    body = answer.members
    events = split_array(body.get("events", b"")).unwrap_or(None)
    revision = _revision(body, "at")
    if events is None or revision is None:
        return Err(_invalid_response("watch response without events or revision"))
    changes = []
    for event in events:
        members = split_object(event).unwrap_or({})
        deleted = _value(members, "deleted") is True
        changes.append(_to_entry(kind, members.get("object", b""), deleted))
    return Ok(WatchBatch(tuple(changes), revision, answer.era))
