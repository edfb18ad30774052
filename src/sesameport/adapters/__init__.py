"""Implement the clients of the platform, engines, plain services, peers and timers."""

from sesameport.lazy_exports import export_lazily

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

__getattr__, __dir__ = export_lazily(
    __name__,
    {
        "bulkheads": (
            "Bulkhead",
            "BulkheadEngine",
            "BulkheadLimits",
            "BulkheadPlainService",
            "BulkheadPlatform",
            "Bulkheads",
        ),
        "engine": (
            "HttpEngine",
            "HttpTokenStream",
        ),
        "peer_connections": ("PeerLinkCounters",),
        "peer_link": ("ZmqPeerLink",),
        "plain": ("HttpPlainService",),
        "platform": ("HttpPlatform",),
        "timers": ("TimerService",),
    },
)
