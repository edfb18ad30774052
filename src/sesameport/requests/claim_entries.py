"""Define the entries of a shard object of idempotency claims and their encoding."""

import hashlib

import msgspec

from sesameport.domain import Execution

__all__ = [
    "CLAIM_KIND",
    "ClaimConfig",
    "ClaimEntry",
    "ClaimOutcome",
    "claim_digest",
    "decode_entries",
    "encode_entries",
    "entry_size",
    "shard_name",
    "unknown_outcome",
]

CLAIM_KIND = "CallClaims"


class ClaimConfig(msgspec.Struct, frozen=True, kw_only=True):
    """Set the limits for the claims of one service.

    Attributes
    ----------
    shards : int
        Number of shard objects per service. A change loses the claims in force.
    lifetime_s : float
        Time for which a claim answers repeated calls, wall-clock seconds.
    expiry_margin_s : float
        Additional time before an entry is removed, because host clocks differ, seconds.
    max_claim_bytes : int
        Size of a shard object above which it accepts no new claims.
    max_object_bytes : int
        Size of a shard object above which outcomes are stored without their body. The
        platform's limit is 1 MB. The range above ``max_claim_bytes`` is reserved for
        the outcomes of claims that are already in the object.
    max_body_bytes : int
        Maximum size of a stored answer body.
    max_wait_s : float
        Maximum time that a claim waits for the platform, seconds.
    retry_base_s, retry_cap_s : float
        Base and maximum of the back-off between platform calls, seconds.
    max_pending : int
        Maximum number of operations waiting for one shard.
    """

    shards: int = 256
    lifetime_s: float = 86_400.0
    expiry_margin_s: float = 3_600.0
    max_claim_bytes: int = 700_000
    max_object_bytes: int = 900_000
    max_body_bytes: int = 2_048
    max_wait_s: float = 2.0
    retry_base_s: float = 0.05
    retry_cap_s: float = 2.0
    max_pending: int = 500


class ClaimOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Represent the outcome that is returned to a repeated call.

    ``status`` is 0 if the call returned no answer. ``truncated`` is True if the body
    was too long to store. The body is empty in both cases.
    """

    execution: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    truncated: bool = False


class ClaimEntry(msgspec.Struct, frozen=True, array_like=True):
    """Represent one claim.

    ``outcome`` is None while the call runs. ``owner`` is ``<host>.<incarnation>``, and
    ``expires_at`` is wall-clock seconds.
    """

    body_digest: bytes
    owner: str
    nonce: str
    expires_at: float
    outcome: ClaimOutcome | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(dict[bytes, ClaimEntry])


def encode_entries(entries: dict[bytes, ClaimEntry]) -> bytes:
    """Encode the entries of a shard object."""
    return _ENCODER.encode(entries)


def decode_entries(value: bytes) -> dict[bytes, ClaimEntry]:
    """Decode a shard object, or raise ``msgspec.DecodeError`` if it is malformed."""
    return _DECODER.decode(value)


def entry_size(entry: ClaimEntry) -> int:
    """Return the encoded size of an entry and its digest, bytes."""
    return len(_ENCODER.encode(entry)) + 18


def claim_digest(workspace: str, key: str) -> bytes:
    """Return the digest under which a workspace's key is stored.

    The digest includes the length of the workspace name, so that different pairs of
    workspace and key never produce the same text.
    """
    text = f"{len(workspace)}:{workspace}{key}"
    return hashlib.sha256(text.encode()).digest()[:16]


def shard_name(service: str, digest: bytes, shards: int) -> str:
    """Return the name of the object that stores a digest."""
    return f"{service}.{int.from_bytes(digest[:4], 'big') % shards}"


def unknown_outcome() -> ClaimOutcome:
    """Return the outcome of a call that may have run."""
    return ClaimOutcome(Execution.MAY_HAVE_RUN.value)
