"""Hold the header names of the users' platform."""

__all__ = [
    "API_KEY",
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "EXPECT_VERSION",
    "HOP_HEADERS",
    "KV_SOURCE",
    "LAST_EVENT_ID",
    "LENGTH_HINT",
    "NOT_EXECUTED",
    "REQUEST_ID",
    "SEAL",
    "SET_BY_SYSTEM",
    "STAGE",
    "TENANT",
    "TOKEN_COUNT",
]

REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
API_KEY = "x-key"
TENANT = "x-tenant"
TOKEN_COUNT = "x-token-count"
LENGTH_HINT = "x-length-hint"
LAST_EVENT_ID = "last-event-id"
STAGE = "x-stage"
KV_SOURCE = "x-kv-source"
EXPECT_INSTANCE = "x-expect-instance"
EXPECT_VERSION = "x-expect-version"
SEAL = "x-response-seal"
NOT_EXECUTED = "x-not-executed"

# What a caller sends under these names is dropped: the router decides about them.
SET_BY_SYSTEM = frozenset(
    {
        API_KEY,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        KV_SOURCE,
        LAST_EVENT_ID,
        STAGE,
        TENANT,
        "kv-fetch",
        "x-kv-backup",
        "x-kv-hold",
        "x-pin-ms",
        "x-request-priority",
    }
)

# Headers of one connection (RFC 9110, section 7.6.1) and of its framing.
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
