"""Find the status addresses of hosts and send requests to them."""

import concurrent.futures
from collections.abc import Sequence

import attrs
import cappa
import urllib3
from result import Err, Ok, Result

from sesameport.adapters import HttpPlatform
from sesameport.adapters.strict_responses import StrictPoolManager
from sesameport.interfaces import Platform

__all__ = ["HostResponse", "fetch_all", "find_addresses", "open_platform"]

MAX_CONCURRENT_FETCHES = 16
FETCH_TIMEOUT_S = 3.0
MAX_RESPONSE_BYTES = 16_000_000
"""Maximum size of one response; burn counts of 1,100 workspaces take 0.2 MB."""


@attrs.frozen
class HostResponse:
    """Represent the response of one address: its body, or an Err with the reason."""

    address: str
    result: Result[bytes, str]


def open_platform(url: str) -> Platform:
    """Return a client of the platform; exit with code 2 if the URL is invalid."""
    if not url.startswith(("http://", "https://")):
        raise cappa.Exit(f"--platform: expected http://IP:PORT, got {url!r}", code=2)
    return HttpPlatform(url)


def find_addresses(addresses: Sequence[str], platform_url: str | None) -> list[str]:
    """Return the given status addresses, or those in the platform's host list.

    Raises
    ------
    cappa.Exit
        With code 2 if neither is given or an address is not ``IP:port``; with code 1
        if the platform does not respond or lists no status address.
    """
    for address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise cappa.Exit(f"expected IP:PORT, got {address!r}", code=2)
    if addresses:
        return list(addresses)
    if not platform_url:
        raise cappa.Exit("give status addresses or --platform URL", code=2)
    result = open_platform(platform_url).hosts()
    if result.is_err():
        exc = result.unwrap_err()
        raise cappa.Exit(f"the platform: {exc.kind}: {exc.detail}", code=1)
    status_addresses = [host.status_address for host in result.unwrap().hosts]
    status_addresses = [address for address in status_addresses if address]
    if not status_addresses:
        raise cappa.Exit("the platform lists no host with a status address", code=1)
    return status_addresses


def fetch_all(
    addresses: Sequence[str], path: str, timeout_s: float = FETCH_TIMEOUT_S
) -> list[HostResponse]:
    """Fetch a path from all addresses and return the responses in the same order."""
    http = StrictPoolManager(num_pools=MAX_CONCURRENT_FETCHES, retries=False)
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_FETCHES) as pool:
        results = pool.map(
            lambda address: _fetch(http, address, path, timeout_s), addresses
        )
        return [
            HostResponse(address, result)
            for address, result in zip(addresses, results, strict=True)
        ]


def _fetch(http, address: str, path: str, timeout_s: float) -> Result[bytes, str]:
    try:
        response = http.request(
            "GET",
            f"http://{address}{path}",
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
            preload_content=False,
        )
        try:
            body = response.read(MAX_RESPONSE_BYTES + 1)
        finally:
            response.release_conn()
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Err(f"no answer ({type(exc).__name__})")
    if response.status != 200:
        return Err(f"status {response.status}")
    if len(body) > MAX_RESPONSE_BYTES:
        return Err(f"response larger than {MAX_RESPONSE_BYTES} bytes")
    return Ok(body)
