"""Define the messages with which hosts lend tokens to each other.

The peer link adds the sending host and its incarnation. Messages may be lost,
duplicated or reordered. One message covers several workspaces of one service.
"""

import attrs

__all__ = [
    "GrantedLot",
    "LotAsk",
    "LotGrant",
    "LotReturn",
    "LotWant",
    "ReturnedLot",
    "ShortWorkspace",
    "StandingAsk",
    "StandingGrant",
]


@attrs.frozen
class LotWant:
    """Request tokens of one workspace; ``spare`` tokens are useful but not urgent."""

    workspace: str
    tokens: float
    spare: float = 0.0


@attrs.frozen
class LotAsk:
    """Request lots from the pool owner, or from a peer's standing buckets."""

    service: str
    ask_id: int
    wants: tuple[LotWant, ...]
    from_standing: bool = False


@attrs.frozen
class GrantedLot:
    """Represent a lent lot.

    ``lifetime_s`` starts when the borrower sent its request.
    """

    workspace: str
    lot_id: int
    tokens: float
    lifetime_s: float


@attrs.frozen
class ShortWorkspace:
    """State when a lender expects to have the tokens that it could not lend."""

    workspace: str
    retry_after_s: float


@attrs.frozen
class LotGrant:
    """Answer a `LotAsk`.

    Attributes
    ----------
    to_incarnation : str
        Process that sent the request; another process of that host ignores the grant.
    lots : tuple of GrantedLot
        Lots that this process may spend.
    short : tuple of ShortWorkspace
        Workspaces that got less than requested.
    is_owner : bool
        False when the answering host does not own the pool.
    owner : str
        Host that the answering host believes to be the owner.
    """

    service: str
    ask_id: int
    to_incarnation: str
    lots: tuple[GrantedLot, ...] = ()
    short: tuple[ShortWorkspace, ...] = ()
    is_owner: bool = True
    owner: str = ""


@attrs.frozen
class ReturnedLot:
    """Represent a returned lot, of which ``unused`` tokens were not spent."""

    workspace: str
    lot_id: int
    unused: float


@attrs.frozen
class LotReturn:
    """Return lots to the process that lent them."""

    service: str
    to_incarnation: str
    lots: tuple[ReturnedLot, ...]


@attrs.frozen
class StandingAsk:
    """Request, renew or return a standing share at the pool owner.

    ``adopted_epoch`` and ``adopted_number`` identify the newest grant in force at the
    sender. ``is_leaving`` returns the share for good.

    If ``idle_number`` is above 0, the sender pauses the refill of its standing buckets
    for the ``idle_s`` of the grant with ``idle_epoch`` and ``idle_number``, and the
    owner may earn their rate instead. The workspaces in ``busy`` are excluded. The
    owner ignores the transfer if its own ``workspaces_digest`` differs.
    """

    service: str
    ask_id: int
    adopted_epoch: int = 0
    adopted_number: int = 0
    is_leaving: bool = False
    idle_epoch: int = 0
    idle_number: int = 0
    workspaces_digest: int = 0
    busy: tuple[str, ...] = ()


@attrs.frozen
class StandingGrant:
    """Grant a standing share in millionths of the region's standing tokens.

    ``lease_s`` starts when the receiver sent its request. The receiver ignores a grant
    that is not newer, by epoch and number, than the adopted one. If ``is_owner`` is
    False, the message only names the owner. ``idle_s`` is the time for which the next
    request may transfer the rate of full standing buckets to the owner.
    """

    service: str
    ask_id: int
    to_incarnation: str
    epoch: int = 0
    number: int = 0
    millionths: int = 0
    lease_s: float = 0.0
    idle_s: float = 0.0
    is_owner: bool = True
    owner: str = ""
