"""Define what backend servers say of themselves in their answers."""

from collections.abc import Callable

import attrs

__all__ = ["NO_NOTICE", "OnNotice", "ServerNotice"]


@attrs.frozen
class ServerNotice:
    """Represent what one answer of a backend server says of that server.

    Attributes
    ----------
    limit_per_s : float or None
        Requests per second that the server takes from all hosts together, or None
        without a limit. The limit holds until an answer names another one or none.
    is_leaving : bool
        Whether the server is about to stop and takes no new requests.
    pause_s : float
        Time for which the server wants no request from the host that got the answer,
        seconds.
    cold_remaining_s : float
        Time for which the server stays cold, 0 if the answer states none, seconds.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
    cold_remaining_s: float = 0.0


NO_NOTICE = ServerNotice()

OnNotice = Callable[[str, ServerNotice], None]
"""Called with the name of a server and the notice of each of its answers."""
