"""Stop an entry host so that each request that it has read gets an answer."""

from sesameport.entry.stopping.drain import HostDrain, InFlight
from sesameport.entry.stopping.process_stop import (
    HOST_STOPPING,
    STOPPING_RETRY_AFTER_S,
    HostStopping,
    ProcessStop,
)

__all__ = [
    "HOST_STOPPING",
    "STOPPING_RETRY_AFTER_S",
    "HostDrain",
    "HostStopping",
    "InFlight",
    "ProcessStop",
]
