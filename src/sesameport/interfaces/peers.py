"""Define the interface for messages between hosts."""

from collections.abc import Callable
from typing import Any, Protocol

import attrs

__all__ = ["PeerLink", "Sender"]


@attrs.frozen
class Sender:
    """Identify the host process that sent a message.

    ``incarnation`` is a random 64-bit number in hexadecimal, which each process draws
    at its start.
    """

    host: str
    incarnation: str
    data_centre: str


class PeerLink(Protocol):
    """Exchange typed messages with other hosts.

    Messages are attrs classes. They may be lost, duplicated or reordered.
    """

    def send(self, host: str, message: Any) -> None:
        """Queue a message to the host of the given name without blocking.

        Messages to unknown or unreachable hosts are dropped and counted.
        """
        ...

    def subscribe(
        self, message_type: type, callback: Callable[[Sender, Any], None]
    ) -> None:
        """Call ``callback`` with each received message of an attrs class."""
        ...
