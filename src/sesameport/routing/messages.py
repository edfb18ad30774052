"""Define what the router decides and how it is set up."""

import attrs

from sesameport.world import BackendServer, Refusal

__all__ = ["Expired", "PairingPolicy", "Placement", "RouterConfig"]


@attrs.frozen
class PairingPolicy:
    """Set the measures against herding; the bench switches them off one by one.

    Attributes
    ----------
    candidates : int
        Servers sampled per role and decision.
    count_own : bool
        Whether own dispatches since the report's moment are counted.
    plan_start : bool
        Whether a prefill waits until a slot and a link share are expected.
    window_step, window_cut : float
        Growth of the send window per result that is accepted at once, requests, and
        its relative cut per target wait that a result waited too long.
    cut_pause_s : float
        Least time between two cuts, seconds.
    target_wait_s : float
        Wait of a prefill result for a decode slot that keeps the slots full, seconds.
    urgent_extra : float
        Requests by which urgent ones may exceed the window.
    retry_s : float
        Longest pause before a server that answered busy is tried again, seconds. The
        pause is shorter for results that cost more prefill and for old ones, which
        so get the next slot more often.
    result_lifetime_s : float
        Time for which engines keep a prefill result, seconds.
    max_waiting_results : int
        Own prefill results that wait for a slot, from which no patient prefill is
        started; urgent ones start up to one more.
    prefill_ahead_s : float
        Own unfinished prefill, in seconds of the host's share of the prefill speed,
        above which no patient prefill is started.
    near_equal_s : float
        Expected first tokens closer than this are chosen among at random, seconds.
    max_backlog_s : float
        Prefill backlog above which patient requests wait in the router, seconds.
    """

    candidates: int = 4
    count_own: bool = True
    plan_start: bool = True
    window_step: float = 0.1
    window_cut: float = 0.03
    cut_pause_s: float = 0.3
    target_wait_s: float = 0.1
    urgent_extra: float = 4.0
    retry_s: float = 0.04
    result_lifetime_s: float = 0.9
    max_waiting_results: int = 1
    prefill_ahead_s: float = 0.2
    near_equal_s: float = 0.015
    max_backlog_s: float = 0.3


@attrs.frozen
class RouterConfig:
    """Bound the router. ``data_centre`` is that of the host that decides.

    Attributes
    ----------
    max_waiting, max_waiting_per_workspace : int
        Bounds of the queue of one service, requests.
    hosts : int
        Hosts that place work on the same servers.
    watched_per_role : int
        Servers per service and role that the host knows the load of and uses.
    patient_first_token_s : float
        Time to the first token that patient requests are to get; documents give it for
        urgent requests only.
    remote_latency_s : float
        One-way latency to another data centre, seconds.
    """

    data_centre: str
    max_waiting: int = 400
    max_waiting_per_workspace: int = 200
    hosts: int = 9
    watched_per_role: int = 24
    patient_first_token_s: float = 20.0
    remote_latency_s: float = 0.0015
    policy: PairingPolicy = PairingPolicy()


@attrs.frozen
class Placement:
    """Say where a request runs and when its prefill starts (monotonic seconds).

    ``ticket`` identifies the reservation inside the router, ``priority`` is passed to
    engines (lower first) and ``reason`` is text for decision records.
    """

    request_id: str
    prefill: BackendServer
    decode: BackendServer
    start_at: float
    ticket: int = 0
    priority: int = 0
    kv_bytes: int = 0
    output_tokens: int = 0
    reason: str = ""


@attrs.frozen
class Expired:
    """Say that a waiting request is refused before it ran."""

    request_id: str
    refusal: Refusal
