"""Define the settings of an entry host on a users' platform."""

import attrs

from sesameport.adapters.caller_limits.bounds import CallerBounds

__all__ = ["EntrySettings", "FleetBounds", "settings_requiring_restart"]


@attrs.frozen
class FleetBounds:
    """Represent the bounds that the users guarantee for the fleet.

    Attributes
    ----------
    grace_s : float
        Time between SIGTERM and SIGKILL, seconds.
    lease_s : float
        Minimum time between orders of two hosts, seconds.
    retry_ratio, retry_window_s, retry_slack : float
        Fleet-wide retry budget: at most ``ratio * requests + slack`` retries in any
        window.
    quota_window_s : float
        Window over which the rate and burst of a workspace hold, seconds.
    cold_overshoot, cold_slack : float or None
        In one second a cold server gets at most ``overshoot * rate + slack`` requests.
        Without the overshoot no server counts as cold.
    evacuate_s : float or None
        Time after which no request reaches an evacuated data centre, seconds. None
        means that the deployment has no evacuations and the store is not asked.
    drain_s : float or None
        Time after which no request reaches a server that leaves, seconds.
    contact_s : float
        Time after a disturbance from which the bounds hold for a host, seconds.
    heartbeat_s : float
        Time between two writes of a server to its entry, seconds.
    """

    grace_s: float = 8.0
    lease_s: float = 3.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    quota_window_s: float = 8.0
    cold_overshoot: float | None = None
    cold_slack: float | None = None
    evacuate_s: float | None = None
    drain_s: float | None = None
    contact_s: float = 3.0
    heartbeat_s: float = 1.2


@attrs.frozen
class EntrySettings:
    """Represent the identity, addresses and bounds of one entry host.

    Addresses are ``IP:port``. ``seed_addresses`` are hosts that may provide the
    configuration while the platform's store is unreachable. ``regions`` has the region
    of each data centre. ``limits`` follow from the memory and the descriptors of the
    machine.
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
    regions: dict[str, str] = attrs.field(factory=dict)
    limits: CallerBounds = CallerBounds.for_machine()


_RELOADABLE = ("bounds", "seed_addresses", "regions")


def settings_requiring_restart(
    settings: EntrySettings, changed: EntrySettings
) -> tuple[str, ...]:
    """Return the names of changed settings that need a restart to take effect."""
    return tuple(
        field.name
        for field in attrs.fields(EntrySettings)
        if field.name not in _RELOADABLE
        and getattr(settings, field.name) != getattr(changed, field.name)
    )
