"""Describe and check the settings of one daemon."""

import attrs

from sesameport.documents.structure import structure_toml
from sesameport.world import DataCentre, Finding

__all__ = ["HostSettings", "PlatformSettings", "Settings", "load_settings"]


@attrs.frozen
class HostSettings:
    """Give the identity and addresses of this host (``IP:port``).

    ``max_threads`` bounds the requests that are handled at once. Patient requests may
    take all but ``urgent_threads`` of them.
    """

    name: str
    data_centre: str
    listen: str = "127.0.0.1:8080"
    peer_listen: str = "127.0.0.1:0"
    status_listen: str = "127.0.0.1:0"
    threads: int = 32
    max_threads: int = 512
    urgent_threads: int = 64


@attrs.frozen
class PlatformSettings:
    """Give the address of the platform's object API."""

    url: str
    timeout_s: float = 2.0
    watch_s: float = 10.0


@attrs.frozen
class PeerSettings:
    """Give the link to other hosts.

    ``seeds`` are ``IP:port`` addresses that are tried before the platform's list is
    known. ``secret_key`` and ``public_key`` are CURVE keys in Z85 text; without them
    the link accepts loopback addresses only.
    """

    seeds: tuple[str, ...] = ()
    secret_key: str = ""
    public_key: str = ""
    probe_period_s: float = 1.0
    compare_period_s: float = 4.0


@attrs.frozen
class RequestSettings:
    """Bound what one request may take."""

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
    """Give the bounds of configuration, keys, rates and leases.

    Attributes
    ----------
    key_staleness_s : float
        Age of the configuration above which keys need evidence, seconds.
    standing_share : float
        Part of every rate and burst that hosts hold under long leases.
    standing_lease_s, pool_lease_s, control_lease_s : float
        Lease lengths, seconds.
    drift : float
        Largest relative error of a monotonic clock's rate.
    platform_calls_per_s : float
        Platform calls that this host may make a second.
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
    """Give the times of a graceful shutdown, seconds."""

    unready_s: float = 3.0
    finish_s: float = 3_600.0


@attrs.frozen
class Settings:
    """Hold all settings of one daemon."""

    host: HostSettings
    platform: PlatformSettings
    data_centres: tuple[DataCentre, ...]
    peers: PeerSettings = PeerSettings()
    requests: RequestSettings = RequestSettings()
    fleet: FleetSettings = FleetSettings()
    shutdown: ShutdownSettings = ShutdownSettings()

    def region(self) -> str:
        """Return the region of this host's data centre."""
        for centre in self.data_centres:
            if centre.name == self.host.data_centre:
                return centre.region
        return ""


def load_settings(text: str, file: str) -> tuple[Settings | None, list[Finding]]:
    """Read settings from TOML text and return them with all findings."""
    cfg, findings = structure_toml(text, file, Settings)
    if cfg is None:
        return None, findings
    findings.extend(_check(cfg, file))
    return (None if findings else cfg), findings


def _check(cfg: Settings, file: str) -> list[Finding]:
    findings = []
    names = [centre.name for centre in cfg.data_centres]
    if cfg.host.data_centre not in names:
        message = f"{cfg.host.data_centre!r} is not among data_centres"
        findings.append(Finding(file, "host.data_centre", message))
    for address_path, address in (
        ("host.listen", cfg.host.listen),
        ("host.peer_listen", cfg.host.peer_listen),
        ("host.status_listen", cfg.host.status_listen),
    ):
        if not _is_address(address):
            findings.append(Finding(file, address_path, "expected IP:port"))
    findings.extend(_check_positive(cfg, file))
    if not 0 < cfg.host.urgent_threads < cfg.host.max_threads:
        message = "expected a number above 0 and below host.max_threads"
        findings.append(Finding(file, "host.urgent_threads", message))
    if not 0.0 < cfg.fleet.standing_share < 1.0:
        findings.append(Finding(file, "fleet.standing_share", "expected 0 < x < 1"))
    if not 0.0 <= cfg.fleet.drift < 0.5:
        findings.append(Finding(file, "fleet.drift", "expected 0 <= x < 0.5"))
    return findings


def _check_positive(cfg: Settings, file: str) -> list[Finding]:
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
