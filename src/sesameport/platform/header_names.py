"""Define the names of the HTTP headers that the users' platform uses."""

__all__ = [
    "API_KEY",
    "COLD_REMAINING_MS",
    "DEADLINE_MS",
    "EXPECT_INSTANCE",
    "EXPECT_VERSION",
    "FORWARDED_HEADERS",
    "HOP_BY_HOP_HEADERS",
    "HOST",
    "KV_LEASE",
    "KV_SOURCE",
    "LAST_EVENT_ID",
    "LENGTH_HINT",
    "MODEL",
    "NOT_EXECUTED",
    "PROMPT_PREFIX",
    "REQUEST_ID",
    "REQUEST_PRIORITY",
    "RESPONSE_SEAL",
    "RETRY_AFTER",
    "ROUTER_HEADERS",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "STAGE",
    "STORE_ERA",
    "TENANT",
    "TOKEN_COUNT",
]

HOST = "host"
REQUEST_ID = "x-request-id"
REQUEST_PRIORITY = "x-request-priority"
DEADLINE_MS = "x-deadline-ms"
API_KEY = "x-key"
TENANT = "x-tenant"
TOKEN_COUNT = "x-token-count"
LENGTH_HINT = "x-length-hint"
PROMPT_PREFIX = "x-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
MODEL = "x-model"
STAGE = "x-stage"
KV_LEASE = "x-kv-hold"
KV_SOURCE = "x-kv-source"
EXPECT_INSTANCE = "x-expect-instance"
EXPECT_VERSION = "x-expect-version"
RESPONSE_SEAL = "x-response-seal"
NOT_EXECUTED = "x-not-executed"
RETRY_AFTER = "retry-after"
SERVER_LEAVING = "server-leaving"
SERVER_LIMIT = "server-limit"
COLD_REMAINING_MS = "x-cold-remaining-ms"
STORE_ERA = "store-era"

ROUTER_HEADERS = frozenset(
    {
        API_KEY,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        KV_LEASE,
        KV_SOURCE,
        LAST_EVENT_ID,
        REQUEST_PRIORITY,
        STAGE,
        TENANT,
        "kv-fetch",
        "x-kv-backup",
        "x-pin-ms",
    }
)
"""Headers whose values only the router decides; callers' values are not forwarded."""

FORWARDED_HEADERS = frozenset(
    {HOST, LENGTH_HINT, MODEL, PROMPT_PREFIX, REQUEST_ID, TOKEN_COUNT}
)
"""Headers that a server needs for any request. They concern all recipients, so that a
caller cannot have them removed by a connection option (RFC 9110, section 7.6.1)."""

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that apply to one connection (RFC 9110, section 7.6.1) or to its framing."""
