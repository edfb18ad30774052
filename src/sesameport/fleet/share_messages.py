"""Describe the messages with which hosts lend tokens to each other.

The peer link names the sending host and its incarnation. Every message may be lost,
repeated or reordered. One message carries several workspaces of one service.
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
    """Ask for tokens of one workspace; ``spare`` tokens are useful but not urgent."""

    workspace: str
    tokens: float
    spare: float = 0.0


@attrs.frozen
class LotAsk:
    """Ask the pool owner, or a peer's standing bucket, for lots."""

    service: str
    ask_id: int
    wants: tuple[LotWant, ...]
    from_standing: bool = False


@attrs.frozen
class GrantedLot:
    """Hold one lot; ``lifetime_s`` counts from before the borrower asked."""

    workspace: str
    lot_id: int
    tokens: float
    lifetime_s: float


@attrs.frozen
class ShortWorkspace:
    """Tell when a lender expects to have the tokens that it could not lend."""

    workspace: str
    retry_after_s: float


@attrs.frozen
class LotGrant:
    """Answer a `LotAsk`.

    Attributes
    ----------
    to_incarnation : str
        Process that asked; another process of the same host ignores the grant.
    lots : tuple of GrantedLot
        Lots that the asking process may spend.
    short : tuple of ShortWorkspace
        Workspaces that got less than was asked for.
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
    """Give one lot back; ``unused`` tokens were not spent."""

    workspace: str
    lot_id: int
    unused: float


@attrs.frozen
class LotReturn:
    """Give lots back to the process that lent them."""

    service: str
    to_incarnation: str
    lots: tuple[ReturnedLot, ...]


@attrs.frozen
class StandingAsk:
    """Ask the pool owner for a standing share, renew it or give it back.

    ``adopted_epoch`` and ``adopted_number`` name the newest grant that is in force at
    the sender. ``is_leaving`` gives the share back for good.
    """

    service: str
    ask_id: int
    adopted_epoch: int = 0
    adopted_number: int = 0
    is_leaving: bool = False


@attrs.frozen
class StandingGrant:
    """Grant a standing share in millionths of the region's standing part.

    ``lease_s`` counts from before the receiver asked. A grant with a lower epoch or
    number than the adopted one is ignored. With ``is_owner`` False it only names the
    owner.
    """

    service: str
    ask_id: int
    to_incarnation: str
    epoch: int = 0
    number: int = 0
    millionths: int = 0
    lease_s: float = 0.0
    is_owner: bool = True
    owner: str = ""
