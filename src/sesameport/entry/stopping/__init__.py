"""Stop an entry host without interrupting requests."""

from sesameport.entry.stopping.drain import HostDrain, InFlight

__all__ = ["HostDrain", "InFlight"]
