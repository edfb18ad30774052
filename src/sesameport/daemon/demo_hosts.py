"""Start daemons in this process against simulated backend servers."""

import concurrent.futures
import time

from sesameport.daemon.host import Daemon
from sesameport.documents import HostSettings, PlatformSettings, Settings
from sesameport.domain import DataCentre

__all__ = ["build_host_settings", "start_hosts", "stop_hosts", "wait_until_ready"]

_READY_TIMEOUT_S = 20.0


def build_host_settings(
    deployment, name: str, data_centre: str, **overrides
) -> Settings:
    """Build the settings of a host in a simulated deployment."""
    centres = tuple(
        DataCentre(centre, deployment.region) for centre in deployment.data_centres
    )
    return Settings(
        HostSettings(name, data_centre, "127.0.0.1:0", threads=32),
        PlatformSettings(deployment.platform_urls[data_centre]),
        centres,
        **overrides,
    )


def start_hosts(deployment, per_data_centre: int = 1, **overrides) -> list[Daemon]:
    """Start daemons in each data centre and return them once they are ready."""
    daemons = []
    for centre in deployment.data_centres:
        for number in range(1, per_data_centre + 1):
            cfg = build_host_settings(
                deployment, f"{centre}-{number}", centre, **overrides
            )
            daemons.append(Daemon(cfg).start())
    deployment.hosts.extend(daemon.bound_host for daemon in daemons)
    deployment.publish()
    for daemon in daemons:
        wait_until_ready(daemon)
    return daemons


def stop_hosts(daemons: list[Daemon]) -> None:
    """Stop daemons in parallel, as each waits for its threads."""
    with concurrent.futures.ThreadPoolExecutor(max(1, len(daemons))) as pool:
        list(pool.map(lambda daemon: daemon.stop(), daemons))


def wait_until_ready(daemon: Daemon) -> None:
    """Wait until a daemon has loaded its configuration."""
    deadline = time.monotonic() + _READY_TIMEOUT_S
    while not daemon.is_ready():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{daemon.cfg.host.name} is not ready")
        time.sleep(0.02)
