"""Track a host's open requests for lots and choose the hosts to send them to."""

import random

import attrs

from sesameport.fleet.share_limits import ShareSettings
from sesameport.fleet.share_messages import LotAsk, LotGrant, LotWant

__all__ = ["LotRequests", "OpenRequest"]

_MAX_OWNER_FAILURES = 2
"""Consecutive requests without an answer from the owner after which it counts as
unreachable."""

_MAX_REDIRECTS = 3
"""Consecutive redirects to another owner before the next candidate is tried."""


@attrs.define
class OpenRequest:
    """Represent a lot request whose grant is still accepted."""

    lender: str
    sent_at: float
    from_standing: bool
    workspaces: tuple[str, ...]
    is_open: bool = True


@attrs.define
class LotRequests:
    """Choose lenders and match their grants to the requests of this process."""

    service: str
    cfg: ShareSettings
    rng: random.Random
    owner_candidates: tuple[str, ...] = ()
    local_peers: tuple[str, ...] = ()
    remote_peers: tuple[str, ...] = ()
    owner: str = ""
    _owner_failures: int = 0
    _redirects: int = 0
    _next_candidate: int = 0
    _requests: dict[int, OpenRequest] = attrs.field(factory=dict)
    _next_request_id: int = 1

    def match_grant(self, host: str, grant: LotGrant) -> OpenRequest | None:
        """Remove and return the request that a grant answers, or None if unknown.

        A request is unknown after its first grant.
        """
        request = self._requests.get(grant.ask_id)
        if request is None or request.lender != host:
            return None
        del self._requests[grant.ask_id]
        if not request.from_standing:
            self.update_owner(host, grant.is_owner, grant.owner)
        return request

    def is_owner_reachable(self) -> bool:
        """Return whether the owner answered one of the last requests."""
        return self._owner_failures < _MAX_OWNER_FAILURES

    def likely_owner(self) -> str:
        """Return the host to treat as the owner, or an empty string."""
        if self.owner and self.is_owner_reachable():
            return self.owner
        if not self.owner_candidates:
            return self.owner
        return self.owner_candidates[self._next_candidate % len(self.owner_candidates)]

    def is_waiting(self, from_standing: bool) -> bool:
        """Return whether a request of this kind still waits for its grant."""
        return any(
            request.is_open and request.from_standing == from_standing
            for request in self._requests.values()
        )

    def expire_requests(self, now: float) -> list[str]:
        """Stop waiting for old requests.

        Returns
        -------
        list of str
            Workspaces for which peers did not answer.
        """
        unanswered = []
        for request_id, request in list(self._requests.items()):
            age = now - request.sent_at
            if request.is_open and age > self.cfg.request_timeout_s:
                # A late grant is still accepted, but new requests no longer wait for
                # it.
                request.is_open = False
                if not request.from_standing:
                    self.record_owner_failure()
                unanswered.extend(request.workspaces if request.from_standing else ())
            if age > self.cfg.lot_lifetime_s:
                del self._requests[request_id]
        return unanswered

    def choose_peers(self) -> list[str]:
        """Return the peers to request lots from."""
        # If the owner is unreachable, the host's whole data centre may be cut off. Then
        # only peers in the same data centre can answer.
        local = list(self.local_peers)
        remote = list(self.remote_peers) if self.is_owner_reachable() else []
        count = self.cfg.peers_per_round
        peers = local + remote
        return peers if len(peers) <= count else self.rng.sample(peers, count)

    def open_request(
        self, lender: str, wants: list[LotWant], from_standing: bool, now: float
    ) -> LotAsk:
        """Return a new request; its grant is accepted until its lots would expire."""
        request_id = self._next_request_id
        self._next_request_id += 1
        names = tuple(want.workspace for want in wants)
        self._requests[request_id] = OpenRequest(lender, now, from_standing, names)
        return LotAsk(self.service, request_id, tuple(wants), from_standing)

    def update_owner(self, host: str, is_owner: bool, owner: str) -> None:
        """Apply a host's answer about who owns the pool.

        Parameters
        ----------
        host : str
            Host that answered.
        is_owner : bool
            Whether that host owns the pool.
        owner : str
            Host that it believes to be the owner, or an empty string.
        """
        if is_owner:
            self.owner, self._owner_failures, self._redirects = host, 0, 0
            return
        if owner and owner != self.owner and self._redirects < _MAX_REDIRECTS:
            self._redirects += 1
            self.owner, self._owner_failures = owner, 0
            return
        # Hosts that cannot read the lease may redirect to each other for ever, so the
        # next candidate is tried. Its redirect counts again, because the owner need not
        # be a candidate.
        self.owner, self._redirects = "", 0
        self.record_owner_failure()

    def record_owner_failure(self) -> None:
        """Record a request that the owner did not answer; try the next candidate."""
        self._owner_failures += 1
        self._next_candidate += 1
