"""Find hosts and fetch from their status addresses."""

import concurrent.futures
from collections.abc import Sequence

import attrs
import cappa
import urllib3
from result import Err, Ok, Result

from sesameport.adapters import HttpPlatform
from sesameport.interfaces import Platform

__all__ = ["Answer", "fetch_all", "find_addresses", "open_platform"]

FETCHES_AT_ONCE = 16
FETCH_TIMEOUT_S = 3.0
LARGEST_ANSWER_BYTES = 16_000_000
"""Bound of one answer; the burn counts of 1,100 workspaces take 0.2 MB."""


@attrs.frozen
class Answer:
    """Hold what one address answered: the body, or why there is none."""

    address: str
    result: Result[bytes, str]


def open_platform(url: str) -> Platform:
    """Return a client of the platform; a wrong URL is a usage error (exit code 2)."""
    if not url.startswith(("http://", "https://")):
        raise cappa.Exit(f"--platform: expected http://IP:PORT, got {url!r}", code=2)
    return HttpPlatform(url)


def find_addresses(addresses: Sequence[str], platform_url: str | None) -> list[str]:
    """Return the given status addresses, or else those of the platform's host list.

    Raises
    ------
    cappa.Exit
        With code 2 when neither is given or an address is no ``IP:port``; with code 1
        when the platform does not answer or lists no status address.
    """
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise cappa.Exit(f"expected IP:PORT, got {address!r}", code=2)
    if addresses:
        return list(addresses)
    if not platform_url:
        raise cappa.Exit("give status addresses or --platform URL", code=2)
    listed = open_platform(platform_url).hosts()
    if listed.is_err():
        exc = listed.unwrap_err()
        raise cappa.Exit(f"the platform: {exc.kind}: {exc.detail}", code=1)
    found = [host.status_address for host in listed.unwrap().hosts]
    found = [address for address in found if address]
    if not found:
        raise cappa.Exit("the platform lists no host with a status address", code=1)
    return found


def fetch_all(
    addresses: Sequence[str], path: str, timeout_s: float = FETCH_TIMEOUT_S
) -> list[Answer]:
    """Fetch one path from all addresses and return the answers in their order."""
    http = urllib3.PoolManager(num_pools=FETCHES_AT_ONCE, retries=False)
    with concurrent.futures.ThreadPoolExecutor(FETCHES_AT_ONCE) as pool:
        results = pool.map(
            lambda address: _fetch(http, address, path, timeout_s), addresses
        )
        return [
            Answer(address, result)
            for address, result in zip(addresses, results, strict=True)
        ]


def _fetch(http, address: str, path: str, timeout_s: float) -> Result[bytes, str]:
    try:
        answer = http.request(
            "GET",
            f"http://{address}{path}",
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
            preload_content=False,
        )
        try:
            body = answer.read(LARGEST_ANSWER_BYTES + 1)
        finally:
            answer.release_conn()
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Err(f"no answer ({type(exc).__name__})")
    if answer.status != 200:
        return Err(f"status {answer.status}")
    if len(body) > LARGEST_ANSWER_BYTES:
        return Err(f"answer above {LARGEST_ANSWER_BYTES} bytes")
    return Ok(body)
