"""Implement the clients of the platform, engines, plain services, peers and timers."""

from sesameport.adapters.bulkheads import (
    Bulkhead,
    BulkheadEngine,
    BulkheadLimits,
    BulkheadPlainService,
    BulkheadPlatform,
    Bulkheads,
)
from sesameport.adapters.engine import HttpEngine, HttpTokenStream
from sesameport.adapters.peer_connections import PeerLinkCounters
from sesameport.adapters.peer_link import ZmqPeerLink
from sesameport.adapters.plain import HttpPlainService
from sesameport.adapters.platform import HttpPlatform
from sesameport.adapters.timers import TimerService

__all__ = [
    "Bulkhead",
    "BulkheadEngine",
    "BulkheadLimits",
    "BulkheadPlainService",
    "BulkheadPlatform",
    "Bulkheads",
    "HttpEngine",
    "HttpPlainService",
    "HttpPlatform",
    "HttpTokenStream",
    "PeerLinkCounters",
    "TimerService",
    "ZmqPeerLink",
]
