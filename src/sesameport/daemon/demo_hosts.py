"""Start daemons for a deployment of stand-ins in this process."""

import concurrent.futures
import time

from sesameport.daemon.host import Daemon
from sesameport.documents import HostSettings, PlatformSettings, Settings
from sesameport.world import DataCentre

__all__ = ["host_settings", "start_hosts", "stop_hosts", "wait_ready"]

_READY_S = 20.0


def host_settings(deployment, name: str, data_centre: str, **changes) -> Settings:
    """Return the settings of a host in a deployment of stand-ins."""
    centres = tuple(
        DataCentre(centre, deployment.region) for centre in deployment.data_centres
    )
    return Settings(
        HostSettings(name, data_centre, "127.0.0.1:0", threads=32),
        PlatformSettings(deployment.urls[data_centre]),
        centres,
        **changes,
    )


def start_hosts(deployment, per_data_centre: int = 1, **changes) -> list[Daemon]:
    """Start daemons in each data centre of a deployment."""
    daemons = []
    for centre in deployment.data_centres:
        for number in range(1, per_data_centre + 1):
            cfg = host_settings(deployment, f"{centre}-{number}", centre, **changes)
            daemons.append(Daemon(cfg).start())
    deployment.hosts.extend(daemon.own_host for daemon in daemons)
    deployment.publish()
    for daemon in daemons:
        wait_ready(daemon)
    return daemons


def stop_hosts(daemons: list[Daemon]) -> None:
    """Stop daemons, all at once because each waits for its threads."""
    with concurrent.futures.ThreadPoolExecutor(max(1, len(daemons))) as pool:
        list(pool.map(lambda daemon: daemon.stop(), daemons))


def wait_ready(daemon: Daemon) -> None:
    """Wait until a daemon has its configuration."""
    end = time.monotonic() + _READY_S
    while not daemon.is_ready():
        if time.monotonic() > end:
            raise TimeoutError(f"{daemon.cfg.host.name} is not ready")
        time.sleep(0.02)
