"""Define the link between hosts as decision code and adapters see it."""

from collections.abc import Callable
from typing import Any, Protocol

import attrs

__all__ = ["PeerLink", "Sender"]


@attrs.frozen
class Sender:
    """Identify the host process that sent a message.

    ``incarnation`` is a random 64-bit number in hexadecimal, drawn at process start.
    """

    host: str
    incarnation: str
    data_centre: str


class PeerLink(Protocol):
    """Exchange typed messages with other hosts.

    Messages are attrs classes. Each one may be lost, repeated or reordered.
    """

    def send(self, host: str, message: Any) -> None:
        """Queue a message for a host by name and return at once.

        A message to an unknown or unreachable host is dropped and counted.
        """
        ...

    def subscribe(
        self, message_type: type, callback: Callable[[Sender, Any], None]
    ) -> None:
        """Call back for each received message of one attrs class."""
        ...
