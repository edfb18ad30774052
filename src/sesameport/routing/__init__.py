"""Decide where and when requests run."""

from sesameport.routing.cache_view import CacheView
from sesameport.routing.link_view import LinkShares
from sesameport.routing.load_view import LoadView, ServerLoad
from sesameport.routing.messages import (
    Expired,
    PairingPolicy,
    Placement,
    RouterConfig,
)
from sesameport.routing.pairing import NotYet, Pair, Pairing
from sesameport.routing.placement_queue import Entry, WaitingOrder
from sesameport.routing.router import Router
from sesameport.routing.send_window import SendWindow
from sesameport.routing.server_index import ServerIndex

__all__ = [
    "CacheView",
    "Entry",
    "Expired",
    "LinkShares",
    "LoadView",
    "NotYet",
    "Pair",
    "Pairing",
    "PairingPolicy",
    "Placement",
    "Router",
    "RouterConfig",
    "SendWindow",
    "ServerIndex",
    "ServerLoad",
    "WaitingOrder",
]
