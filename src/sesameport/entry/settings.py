"""Describe the settings of an entry host that runs on a platform of its users."""

import attrs

__all__ = ["EntrySettings", "FleetBounds", "settings_requiring_restart"]


@attrs.frozen
class FleetBounds:
    """Hold what the users promise about the fleet.

    Attributes
    ----------
    grace_s : float
        Time between SIGTERM and SIGKILL.
    configuration_s : float
        Time after which an accepted configuration is in force everywhere.
    lease_s : float
        Time that has to pass between orders of two hosts.
    retry_ratio, retry_window_s, retry_slack : float
        Fleet-wide budget for repeats: in any window ``ratio * requests + slack``.
    """

    grace_s: float = 8.0
    lease_s: float = 3.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0


@attrs.frozen
class EntrySettings:
    """Hold the identity, addresses and bounds of one entry host.

    Addresses are ``IP:port``. ``seed_addresses`` are hosts that may know the
    configuration while the platform's store is away.
    """

    name: str
    data_centre: str
    ip: str
    caller_listen: str
    ready_listen: str
    peer_port: int
    store_address: str
    seed_addresses: tuple[str, ...] = ()
    bounds: FleetBounds = FleetBounds()
    metrics_port: int = 9464


_RELOADABLE = ("bounds", "seed_addresses")


def settings_requiring_restart(
    settings: EntrySettings, changed: EntrySettings
) -> tuple[str, ...]:
    """Return the names of changed settings that a running process cannot take over."""
    return tuple(
        field.name
        for field in attrs.fields(EntrySettings)
        if field.name not in _RELOADABLE
        and getattr(settings, field.name) != getattr(changed, field.name)
    )
