"""Decide where and when requests run."""

from sesameport.routing.cache_view import CacheView
from sesameport.routing.candidates import ServerIndex
from sesameport.routing.links import LinkShares
from sesameport.routing.load_view import LoadView, ServerLoad
from sesameport.routing.messages import (
    Expired,
    PairingPolicy,
    Placement,
    RouterConfig,
)
from sesameport.routing.pairing import NotYet, Pair, Pairing
from sesameport.routing.router import Router
from sesameport.routing.waiting import Entry, WaitingOrder
from sesameport.routing.window import SendWindow

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
