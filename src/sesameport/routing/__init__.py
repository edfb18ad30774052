"""Choose the backend servers and the start time of requests."""

from sesameport.routing.cache_view import CacheView
from sesameport.routing.link_view import LinkView
from sesameport.routing.load_view import LoadView, ServerLoad
from sesameport.routing.messages import (
    ExpiredRequest,
    PairingPolicy,
    Placement,
    RouterConfig,
)
from sesameport.routing.pairing import Deferral, PairSelector, ServerPair
from sesameport.routing.placement_queue import PlacementQueue, QueueEntry
from sesameport.routing.router import Router
from sesameport.routing.send_window import SendWindow
from sesameport.routing.server_index import ServerIndex

__all__ = [
    "CacheView",
    "QueueEntry",
    "ExpiredRequest",
    "LinkView",
    "LoadView",
    "Deferral",
    "ServerPair",
    "PairSelector",
    "PairingPolicy",
    "Placement",
    "Router",
    "RouterConfig",
    "SendWindow",
    "ServerIndex",
    "ServerLoad",
    "PlacementQueue",
]
