"""Run the daemon of one entry host."""

from sesameport.daemon.host import Daemon

__all__ = ["Daemon"]
