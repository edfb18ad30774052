"""Read service documents and write them on condition of the stored version."""

import pathlib
import re
import sys
import time
from collections.abc import Callable
from typing import Annotated

import attrs
import cappa
from result import Err, Ok, Result

from sesameport.commands.fetch import find_addresses, open_platform
from sesameport.commands.status import fetch_status
from sesameport.documents import load_service
from sesameport.domain import Finding, ServiceDocument, format_findings
from sesameport.fleet.share_limits import (
    ShareSettings,
    check_region_bursts,
    check_region_change,
)
from sesameport.interfaces import (
    Platform,
    PlatformError,
    PlatformErrorKind,
    StoredObject,
)
from sesameport.telemetry.status import DocumentStatus, HostStatus

__all__ = ["Get", "Put", "put_document", "read_document", "write_document"]

DOCUMENT_KIND = "ServiceDocument"
MAX_DOCUMENT_BYTES = 1_000_000
"""Maximum size of a value that the platform stores."""

IN_FORCE_TIMEOUT_S = 12.0
"""Maximum time until a change is in force on every host."""

_POLL_INTERVAL_S = 0.5
_MAX_ATTEMPTS = 4
_VERSION_LINE = re.compile(r"\A# sesameport: version (\d+)[^\n]*\n")


def read_document(
    platform: Platform, name: str
) -> Result[StoredObject | None, PlatformError]:
    """Return the stored object of a document, or None if it does not exist."""
    result = platform.get(DOCUMENT_KIND, name)
    if result.is_err() and result.unwrap_err().kind == PlatformErrorKind.NOT_FOUND:
        return Ok(None)
    return result.map(lambda stored: None if stored.deleted else stored)


def with_version_line(text: str, version: int) -> str:
    """Return the text preceded by a comment line with the version that was read."""
    return f"# sesameport: version {version}, read by put as its condition\n{text}"


def split_version_line(text: str) -> tuple[int | None, str]:
    """Return the version in the first line, if any, and the text without that line.

    The get command writes this line.

    >>> split_version_line(with_version_line('name = "a"', 7))
    (7, 'name = "a"')
    """
    match = _VERSION_LINE.match(text)
    if match is None:
        return None, text
    return int(match.group(1)), text[match.end() :]


def write_document(
    platform: Platform,
    name: str,
    value: bytes,
    version: int,
    sleep: Callable[[float], None] = time.sleep,
) -> Result[int, str]:
    """Write a document if the stored version equals the given one.

    Version 0 means that the document must not exist yet. If the response is lost, the
    stored object is read. If it holds the new value, the write succeeded. If it still
    has the given version, the write is retried with the same condition. At most one
    of these writes takes effect.

    Returns
    -------
    result : Result of int or str
        The new version, or an error message. After a conflict, the message contains
        the version that is stored now.
    """
    is_response_lost = False
    for attempt in range(_MAX_ATTEMPTS):
        if attempt:
            sleep(0.2 * 2**attempt)
        if version == 0:
            result = platform.create(DOCUMENT_KIND, name, value)
        else:
            result = platform.update(DOCUMENT_KIND, name, value, version)
        if result.is_ok():
            return Ok(result.unwrap().version)
        exc = result.unwrap_err()
        if exc.kind == PlatformErrorKind.UNAVAILABLE and not is_response_lost:
            continue
        if exc.kind not in (
            PlatformErrorKind.UNKNOWN,
            PlatformErrorKind.UNAVAILABLE,
            PlatformErrorKind.CONFLICT,
            PlatformErrorKind.EXISTS,
            PlatformErrorKind.NOT_FOUND,
        ):
            return Err(
                f"{name}: the platform refused the write: {exc.kind}: {exc.detail}"
            )
        # A conflict comes from another writer, unless an earlier response was lost:
        # then it may come from the first attempt of this write.
        is_response_lost = is_response_lost or exc.kind == PlatformErrorKind.UNKNOWN
        outcome = _resolve_failed_write(
            platform, name, value, version, exc, is_response_lost
        )
        if outcome is not None:
            return outcome
    if is_response_lost:
        return Err(
            f"{name}: the outcome is unknown; run get to see whether it was written"
        )
    return Err(f"{name}: not written: the platform cannot be reached")


def _resolve_failed_write(
    platform: Platform,
    name: str,
    value: bytes,
    version: int,
    exc: PlatformError,
    is_response_lost: bool,
) -> Result[int, str] | None:
    """Return the outcome of a failed write, or None if it has to be retried."""
    read = read_document(platform, name)
    if read.is_err():
        if exc.kind in (PlatformErrorKind.CONFLICT, PlatformErrorKind.EXISTS):
            return Err(
                _format_conflict(name, version, exc.current_version, is_response_lost)
            )
        return None
    stored = read.unwrap()
    current = stored.version if stored else 0
    if is_response_lost and stored and current != version and stored.value == value:
        return Ok(current)
    if current == version:
        return None
    return Err(_format_conflict(name, version, current, is_response_lost))


def _format_conflict(
    name: str, version: int, current: int, is_response_lost: bool
) -> str:
    condition = f"version {version}" if version else "no document"
    actual = f"version {current}" if current else "no document"
    text = f"{name}: conflict: expected {condition}, found {actual}"
    if is_response_lost:
        return f"{text}; the response was lost, the write may have been replaced"
    return f"{text}; not written. Run get, apply the change again and run put"


def put_document(
    platform: Platform, text: str, file: str, version: int | None
) -> tuple[str, Result[int, str]]:
    """Check a document and write it.

    Parameters
    ----------
    platform : Platform
        Platform that stores the document.
    text : str
        TOML text, with or without the version line that get writes.
    file : str
        File name to use in messages.
    version : int or None
        Version that has to be stored; 0 means that the document must not exist yet.
        None means the version in the first line of `text`, or 0 without such a line.

    Returns
    -------
    name, result : str, Result of int or str
        Name of the service, and the new version or an error message.
    """
    version_read, body = split_version_line(text)
    condition = version if version is not None else version_read or 0
    doc, findings = load_service(text, file)
    if doc is None:
        return "", Err(_format_findings_with_count(findings))
    value = body.encode()
    if len(value) > MAX_DOCUMENT_BYTES:
        message = (
            f"{len(value)} bytes exceed the platform's limit of {MAX_DOCUMENT_BYTES}"
        )
        findings.append(Finding(file, "size", message))
    findings += _check_share_change(platform, doc, file, condition)
    if findings:
        return doc.name, Err(_format_findings_with_count(findings))
    return doc.name, write_document(platform, doc.name, value, condition)


def _check_share_change(
    platform: Platform, doc: ServiceDocument, file: str, condition: int
) -> list[Finding]:
    findings = check_region_bursts(doc, ShareSettings().standing_share, file)
    stored = read_document(platform, doc.name)
    if stored.is_err() or stored.unwrap() is None:
        return findings
    current = stored.unwrap()
    # The write will fail with a conflict, so there is no change to check.
    if current.version != condition:
        return findings
    old, _ = load_service(current.value.decode("utf-8", "replace"), doc.name)
    return findings + check_region_change(old, doc, file)


def _format_findings_with_count(findings: list[Finding]) -> str:
    return f"{format_findings(findings)}\n{len(findings)} findings, not written"


def find_document_statuses(
    statuses: list[HostStatus], name: str
) -> dict[str, DocumentStatus]:
    """Return the status of one document on each host, by host name."""
    doc_by_host = {}
    for status in statuses:
        doc_by_host[status.host] = DocumentStatus(name)
        for doc in status.documents:
            if doc.name == name:
                doc_by_host[status.host] = doc
    return doc_by_host


def wait_until_in_force(
    addresses: list[str], name: str, version: int, wait_s: float
) -> tuple[str, bool]:
    """Poll hosts until all have a version in force, one refuses it or time runs out.

    Returns
    -------
    text, is_in_force : str, bool
        One line for each host, and whether all have this or a later version in force.
    """
    end = time.monotonic() + wait_s
    while True:
        statuses, missing = fetch_status(addresses)
        doc_by_host = find_document_statuses(statuses, name)
        # A later version has replaced this one, so there is nothing to wait for.
        is_in_force = not missing and all(
            doc.version >= version for doc in doc_by_host.values()
        )
        refused = any(doc.refused_version == version for doc in doc_by_host.values())
        if is_in_force or refused or time.monotonic() + _POLL_INTERVAL_S > end:
            return _format_document_statuses(doc_by_host, missing), is_in_force
        time.sleep(_POLL_INTERVAL_S)


def _format_document_statuses(
    doc_by_host: dict[str, DocumentStatus], missing: list[str]
) -> str:
    lines = []
    for host, doc in doc_by_host.items():
        state = f"version {doc.version} in force" if doc.version else "none in force"
        if doc.refused_version:
            state += f", version {doc.refused_version} refused: "
            state += "; ".join(doc.findings)
        lines.append(f"  {host}: {state}")
    lines += [f"  no answer: {text}" for text in missing]
    return "\n".join(lines)


def _put(command: "Put") -> int:
    try:
        text = command.document.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise cappa.Exit(f"{command.document}: {exc}", code=2) from exc
    if command.version is not None and command.version < 0:
        raise cappa.Exit("--version: must not be negative", code=2)
    platform = open_platform(command.platform)
    name, result = put_document(platform, text, str(command.document), command.version)
    if result.is_err():
        print(result.unwrap_err(), file=sys.stderr)
        return 1
    version = result.unwrap()
    print(f"{name}: written as version {version}")
    addresses = find_addresses(command.hosts, command.platform)
    text, is_in_force = wait_until_in_force(addresses, name, version, command.wait)
    print(text)
    if not is_in_force:
        print(
            f"{name}: version {version} is not in force on every host", file=sys.stderr
        )
    return 0 if is_in_force else 1


def _get(command: "Get") -> int:
    result = read_document(open_platform(command.platform), command.name)
    if result.is_err():
        exc = result.unwrap_err()
        print(f"{command.name}: {exc.kind}: {exc.detail}", file=sys.stderr)
        return 1
    stored = result.unwrap()
    if stored is None:
        print(f"{command.name}: no such document", file=sys.stderr)
        return 1
    text = with_version_line(stored.value.decode(), stored.version)
    if command.output is None:
        sys.stdout.write(text)
        return 0
    try:
        command.output.write_text(text)
    except OSError as exc:
        raise cappa.Exit(f"--output: {exc}", code=2) from exc
    print(f"{command.name}: version {stored.version} written to {command.output}")
    return 0


@cappa.command(name="put", invoke=_put)
@attrs.frozen
class Put:
    """Check a service document, write it and show which hosts have it in force.

    The document is written only if the stored one has the expected version. This is
    the value of `--version`, or else the version in the first line of a file that
    `get` wrote; without either, the document must not exist yet. If another write came
    first, nothing is written and the message shows the version that is stored.

    Exit code 0: written and in force on every host. 1: findings, a conflict, the
    platform cannot be reached, or not in force on every host in time. 2: wrong usage.
    """

    document: Annotated[pathlib.Path, cappa.Arg(help="Service document, TOML")]
    platform: Annotated[
        str, cappa.Arg(long="--platform", help="URL of the platform", required=True)
    ]
    version: Annotated[
        int | None,
        cappa.Arg(long="--version", help="Expected version; 0: must not exist"),
    ] = None
    hosts: Annotated[
        list[str],
        cappa.Arg(
            long="--host",
            help="Status address, IP:PORT; repeatable; default: all the platform lists",
        ),
    ] = attrs.field(factory=list)
    wait: Annotated[
        float,
        cappa.Arg(long="--wait", help="Maximum seconds to wait until it is in force"),
    ] = IN_FORCE_TIMEOUT_S


@cappa.command(name="get", invoke=_get)
@attrs.frozen
class Get:
    """Read a service document.

    The first line of the output is a comment with the version, which `put` expects.

    Exit code 0: found. 1: not found, or the platform cannot be reached. 2: wrong usage.
    """

    name: Annotated[str, cappa.Arg(help="Name of the service")]
    platform: Annotated[
        str, cappa.Arg(long="--platform", help="URL of the platform", required=True)
    ]
    output: Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--output", help="File to write; default: standard output"),
    ] = None
