"""Write and read service documents under a version condition."""

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
from sesameport.world import Finding, ServiceDocument, format_findings

__all__ = ["Get", "Put", "put_document", "read_document", "write_document"]

KIND = "ServiceDocument"
LARGEST_BYTES = 1_000_000
"""Largest value that the platform holds, bytes."""

IN_FORCE_S = 12.0
"""Time within which a change is to be in force everywhere, seconds."""

_POLL_S = 0.5
_TRIES = 4
_VERSION_LINE = re.compile(r"\A# sesameport: version (\d+)[^\n]*\n")


def read_document(
    platform: Platform, name: str
) -> Result[StoredObject | None, PlatformError]:
    """Read the stored object of a document; None when there is none."""
    result = platform.get(KIND, name)
    if result.is_err() and result.unwrap_err().kind == PlatformErrorKind.NOT_FOUND:
        return Ok(None)
    return result.map(lambda stored: None if stored.deleted else stored)


def with_version_line(text: str, version: int) -> str:
    """Return the text with a first line that names the version it was read at."""
    return f"# sesameport: version {version}, read by put as its condition\n{text}"


def split_version_line(text: str) -> tuple[int | None, str]:
    """Return the version from the first line that get wrote, and the text without it.

    >>> split_version_line(with_version_line('name = "a"', 7))
    (7, 'name = "a"')
    """
    found = _VERSION_LINE.match(text)
    if found is None:
        return None, text
    return int(found.group(1)), text[found.end() :]


def write_document(
    platform: Platform,
    name: str,
    value: bytes,
    version: int,
    pause: Callable[[float], None] = time.sleep,
) -> Result[int, str]:
    """Write a document if its version is still the given one; 0 means that none is.

    When the answer is lost, the object is read again: with our value it was written,
    with the version of the condition it is written again under the same condition, so
    that at most one of the writes has an effect.

    Returns
    -------
    result : Result of int or str
        The new version, or a message that names the other version.
    """
    doubt = False
    for attempt in range(_TRIES):
        if attempt:
            pause(0.2 * 2**attempt)
        if version == 0:
            result = platform.create(KIND, name, value)
        else:
            result = platform.update(KIND, name, value, version)
        if result.is_ok():
            return Ok(result.unwrap().version)
        exc = result.unwrap_err()
        if exc.kind == PlatformErrorKind.UNAVAILABLE and not doubt:
            continue
        if exc.kind not in (
            PlatformErrorKind.UNKNOWN,
            PlatformErrorKind.UNAVAILABLE,
            PlatformErrorKind.CONFLICT,
            PlatformErrorKind.EXISTS,
            PlatformErrorKind.NOT_FOUND,
        ):
            return Err(f"{name}: the platform refused: {exc.kind}: {exc.detail}")
        # Without an earlier lost answer, a conflict is somebody else's write.
        doubt = doubt or exc.kind == PlatformErrorKind.UNKNOWN
        settled = _settle(platform, name, value, version, exc, doubt)
        if settled is not None:
            return settled
    if doubt:
        return Err(
            f"{name}: the outcome is unknown; run get to see whether it was written"
        )
    return Err(f"{name}: not written: the platform cannot be reached")


def _settle(
    platform: Platform,
    name: str,
    value: bytes,
    version: int,
    exc: PlatformError,
    doubt: bool,
) -> Result[int, str] | None:
    """Return the outcome after a failed write, or None to write again."""
    read = read_document(platform, name)
    if read.is_err():
        if exc.kind in (PlatformErrorKind.CONFLICT, PlatformErrorKind.EXISTS):
            return Err(_conflict(name, version, exc.current_version, doubt))
        return None
    stored = read.unwrap()
    current = stored.version if stored else 0
    if doubt and stored and current != version and stored.value == value:
        return Ok(current)
    if current == version:
        return None
    return Err(_conflict(name, version, current, doubt))


def _conflict(name: str, version: int, current: int, doubt: bool) -> str:
    condition = f"version {version}" if version else "no document"
    found = f"version {current} is there" if current else "there is no document"
    text = f"{name}: conflict: expected {condition}, but {found}"
    if doubt:
        return f"{text}; the answer to this write was lost, it may have been replaced"
    return f"{text}; not written. Get it, apply your change again, put it"


def put_document(
    platform: Platform, text: str, file: str, version: int | None
) -> tuple[str, Result[int, str]]:
    """Check a document and write it.

    Parameters
    ----------
    platform : Platform
        Where it is written.
    text : str
        TOML text, with or without the line that get puts first.
    file : str
        Name of the file for messages.
    version : int or None
        Condition; 0 means that no document is to exist. None takes the version of the
        line that get put first, or 0.

    Returns
    -------
    name, result : str, Result of int or str
        Name of the service, and the new version or a message.
    """
    seen, body = split_version_line(text)
    condition = version if version is not None else seen or 0
    doc, findings = load_service(text, file)
    if doc is None:
        return "", Err(_with_count(findings))
    value = body.encode()
    if len(value) > LARGEST_BYTES:
        message = f"{len(value)} bytes are above the platform's {LARGEST_BYTES}"
        findings.append(Finding(file, "size", message))
    findings += _check_step(platform, doc, file, condition)
    if findings:
        return doc.name, Err(_with_count(findings))
    return doc.name, write_document(platform, doc.name, value, condition)


def _check_step(
    platform: Platform, doc: ServiceDocument, file: str, condition: int
) -> list[Finding]:
    findings = check_region_bursts(doc, ShareSettings().standing_share, file)
    stored = read_document(platform, doc.name)
    if stored.is_err() or stored.unwrap() is None:
        return findings
    current = stored.unwrap()
    # Another version makes the write fail; its content says nothing of this step.
    if current.version != condition:
        return findings
    old, _ = load_service(current.value.decode("utf-8", "replace"), doc.name)
    return findings + check_region_change(old, doc, file)


def _with_count(findings: list[Finding]) -> str:
    return f"{format_findings(findings)}\n{len(findings)} findings, not written"


def in_force(statuses: list[HostStatus], name: str) -> dict[str, DocumentStatus]:
    """Return what each host says of one document."""
    found = {}
    for status in statuses:
        found[status.host] = DocumentStatus(name)
        for doc in status.documents:
            if doc.name == name:
                found[status.host] = doc
    return found


def wait_in_force(
    addresses: list[str], name: str, version: int, wait_s: float
) -> tuple[str, bool]:
    """Ask hosts until all have a version in force or the time is over.

    Returns
    -------
    text, done : str, bool
        One line for each host, and whether all have the version or a later one.
    """
    end = time.monotonic() + wait_s
    while True:
        statuses, missing = fetch_status(addresses)
        found = in_force(statuses, name)
        # A later version in force replaced this one, which is an end too.
        done = not missing and all(doc.version >= version for doc in found.values())
        refused = any(doc.refused_version == version for doc in found.values())
        if done or refused or time.monotonic() + _POLL_S > end:
            return _format_in_force(found, missing), done
        time.sleep(_POLL_S)


def _format_in_force(found: dict[str, DocumentStatus], missing: list[str]) -> str:
    lines = []
    for host, doc in found.items():
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
        raise cappa.Exit("--version: may not be negative", code=2)
    platform = open_platform(command.platform)
    name, result = put_document(platform, text, str(command.document), command.version)
    if result.is_err():
        print(result.unwrap_err(), file=sys.stderr)
        return 1
    version = result.unwrap()
    print(f"{name}: written as version {version}")
    addresses = find_addresses(command.hosts, command.platform)
    text, done = wait_in_force(addresses, name, version, command.wait)
    print(text)
    if not done:
        print(f"{name}: version {version} is not in force everywhere", file=sys.stderr)
    return 0 if done else 1


def _get(command: "Get") -> int:
    result = read_document(open_platform(command.platform), command.name)
    if result.is_err():
        exc = result.unwrap_err()
        print(f"{command.name}: {exc.kind}: {exc.detail}", file=sys.stderr)
        return 1
    stored = result.unwrap()
    if stored is None:
        print(f"{command.name}: there is no document", file=sys.stderr)
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
    """Check a service document, write it and show where it is in force.

    The write happens only if the stored document still has the expected version: the
    one given by `--version`, else the one in the first line of a file that `get`
    wrote, else none. If someone else wrote first, nothing is written and the message
    names the other version.

    Exit code 0: written and in force on every host. 1: findings, a conflict, no
    platform, or not in force everywhere in time. 2: wrong usage.
    """

    document: Annotated[pathlib.Path, cappa.Arg(help="Service document, TOML")]
    platform: Annotated[
        str, cappa.Arg(long="--platform", help="URL of the platform", required=True)
    ]
    version: Annotated[
        int | None,
        cappa.Arg(long="--version", help="Expected version; 0: none exists yet"),
    ] = None
    hosts: Annotated[
        list[str],
        cappa.Arg(
            long="--host",
            help="Status address, IP:PORT; may be repeated; default: the platform's",
        ),
    ] = attrs.field(factory=list)
    wait: Annotated[
        float, cappa.Arg(long="--wait", help="Seconds to wait until it is in force")
    ] = IN_FORCE_S


@cappa.command(name="get", invoke=_get)
@attrs.frozen
class Get:
    """Read a service document; the first line names the version for `put`.

    Exit code 0: found. 1: not found, or no platform. 2: wrong usage.
    """

    name: Annotated[str, cappa.Arg(help="Name of the service")]
    platform: Annotated[
        str, cappa.Arg(long="--platform", help="URL of the platform", required=True)
    ]
    output: Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--output", help="File to write; default: standard output"),
    ] = None
