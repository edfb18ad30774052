"""Define, parse and validate the settings of a daemon."""

import attrs

from sesameport.documents.structure import structure_toml
from sesameport.domain import DataCentre, Finding

__all__ = ["HostSettings", "PlatformSettings", "Settings", "load_settings"]

IDLE_MEMORY_MB = 96.0
"""Memory of a daemon without requests, with its threads, MB."""

MB_PER_THREAD = 0.5
"""Memory for the request of a thread, MB: bodies that arrive, and the buffers of its
connection."""


@attrs.frozen
class HostSettings:
    """Configure the identity, the ``IP:port`` addresses and the threads of this host.

    ``max_threads`` limits the number of requests that are handled concurrently. The
    last ``urgent_threads`` of these threads are reserved for urgent requests.

    ``memory_mb`` and ``max_fds`` are the memory, MB, and the descriptors of the
    machine. What clients can make the host hold follows from them. A memory of 0 stands
    for `default_memory_mb`.
    """

    name: str
    data_centre: str
    listen: str = "127.0.0.1:8080"
    peer_listen: str = "127.0.0.1:0"
    status_listen: str = "127.0.0.1:0"
    threads: int = 32
    max_threads: int = 512
    urgent_threads: int = 64
    memory_mb: float = 0.0
    max_fds: int = 1_638

    def default_memory_mb(self) -> float:
        """Return the memory of the process and of requests on all threads, MB."""
        return IDLE_MEMORY_MB + MB_PER_THREAD * self.max_threads


@attrs.frozen
class PlatformSettings:
    """Configure the client of the platform's object API."""

    url: str
    timeout_s: float = 2.0
    watch_s: float = 10.0


@attrs.frozen
class PeerSettings:
    """Configure the connections to other hosts.

    ``seeds`` are ``IP:port`` addresses to contact before the platform's host list is
    known. ``secret_key`` and ``public_key`` are CURVE keys in Z85. Without keys, only
    loopback addresses are allowed. ``probe_period_s`` is the period of the membership
    probes, seconds.
    """

    seeds: tuple[str, ...] = ()
    secret_key: str = ""
    public_key: str = ""
    probe_period_s: float = 1.0
    compare_period_s: float = 4.0


@attrs.frozen
class RequestSettings:
    """Configure the limits and timeouts of requests.

    Attributes
    ----------
    max_body_bytes, max_header_bytes : int
        Maximum sizes of a request's body and headers, bytes.
    read_timeout_s : float
        Timeout of reading a request, seconds.
    silent_s : float
        Time without data after which a backend server's connection fails, seconds.
    load_period_s : float
        Period of reading load reports, seconds.
    servers_per_role : int
        Number of backend servers per role that this host sends requests to.
    max_waiting : int
        Maximum length of the waiting queue.
    retry_share : float
        Maximum number of retries as a fraction of the number of requests.
    """

    max_body_bytes: int = 4_000_000
    max_header_bytes: int = 32_768
    read_timeout_s: float = 10.0
    silent_s: float = 5.0
    load_period_s: float = 0.25
    servers_per_role: int = 24
    max_waiting: int = 400
    retry_share: float = 0.1


@attrs.frozen
class FleetSettings:
    """Configure keys, rate shares, leases and platform calls.

    Attributes
    ----------
    key_staleness_s : float
        Maximum age of a configuration whose keys are accepted without further
        evidence, seconds. Above it, keys are accepted only if every data centre reports
        that the platform is unreachable, so that no key can have been withdrawn.
    standing_share : float
        Fraction of every rate and burst that hosts hold under long leases.
    standing_lease_s, pool_lease_s, control_lease_s : float
        Durations of the leases, seconds.
    drift : float
        Maximum relative error of the rate of a monotonic clock.
    platform_calls_per_s : float
        Maximum rate of platform calls of this host, calls per second.
    """

    key_staleness_s: float = 8.0
    standing_share: float = 0.25
    standing_lease_s: float = 7_200.0
    pool_lease_s: float = 10.0
    control_lease_s: float = 10.0
    drift: float = 0.01
    platform_calls_per_s: float = 10.0


@attrs.frozen
class ShutdownSettings:
    """Configure the phases of a graceful shutdown.

    Attributes
    ----------
    unready_s : float
        Time between reporting unready and refusing requests, seconds.
    finish_s : float
        Maximum time for running requests to finish, seconds.
    """

    unready_s: float = 3.0
    finish_s: float = 3_600.0


@attrs.frozen
class Settings:
    """Hold all settings of a daemon."""

    host: HostSettings
    platform: PlatformSettings
    data_centres: tuple[DataCentre, ...]
    peers: PeerSettings = PeerSettings()
    requests: RequestSettings = RequestSettings()
    fleet: FleetSettings = FleetSettings()
    shutdown: ShutdownSettings = ShutdownSettings()

    def region(self) -> str:
        """Return the region of this host's data centre, empty if it is unknown."""
        for centre in self.data_centres:
            if centre.name == self.host.data_centre:
                return centre.region
        return ""


def load_settings(text: str, file: str) -> tuple[Settings | None, list[Finding]]:
    """Parse and validate settings in TOML.

    Returns
    -------
    settings : Settings or None
        None if there are findings.
    findings : list of Finding
        All problems, each with its key path.
    """
    cfg, findings = structure_toml(text, file, Settings)
    if cfg is None:
        return None, findings
    findings.extend(_check_settings(cfg, file))
    return (None if findings else cfg), findings


def _check_settings(cfg: Settings, file: str) -> list[Finding]:
    findings = []
    names = [centre.name for centre in cfg.data_centres]
    if cfg.host.data_centre not in names:
        message = f"{cfg.host.data_centre!r} is not among data_centres"
        findings.append(Finding(file, "host.data_centre", message))
    for path, address in (
        ("host.listen", cfg.host.listen),
        ("host.peer_listen", cfg.host.peer_listen),
        ("host.status_listen", cfg.host.status_listen),
    ):
        if not _is_address(address):
            findings.append(Finding(file, path, "expected IP:port"))
    findings.extend(_check_not_negative(cfg, file))
    if not 0 < cfg.host.urgent_threads < cfg.host.max_threads:
        message = "expected a number above 0 and below host.max_threads"
        findings.append(Finding(file, "host.urgent_threads", message))
    if not 0.0 < cfg.fleet.standing_share < 1.0:
        findings.append(Finding(file, "fleet.standing_share", "expected 0 < x < 1"))
    if not 0.0 <= cfg.fleet.drift < 0.5:
        findings.append(Finding(file, "fleet.drift", "expected 0 <= x < 0.5"))
    return findings


def _check_not_negative(cfg: Settings, file: str) -> list[Finding]:
    findings = []
    for section in ("host", "platform", "peers", "requests", "fleet", "shutdown"):
        for field in attrs.fields(type(getattr(cfg, section))):
            value = getattr(getattr(cfg, section), field.name)
            if isinstance(value, (int, float)) and value < 0:
                path = f"{section}.{field.name}"
                findings.append(Finding(file, path, "may not be negative"))
    return findings


def _is_address(text: str) -> bool:
    host, separator, port = text.rpartition(":")
    return bool(separator and host and port.isdigit() and int(port) < 65_536)
