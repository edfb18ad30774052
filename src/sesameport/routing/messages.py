"""Define the router's configuration and the decisions that it returns."""

import attrs

from sesameport.domain import BackendServer, Refusal

__all__ = ["ExpiredRequest", "PairingPolicy", "Placement", "RouterConfig"]


@attrs.frozen
class PairingPolicy:
    """Configure server selection, send windows and retries.

    Sampling, counting own dispatches, start planning, random tie-breaking and the
    window prevent herding. The benchmark can disable each of them separately.

    Attributes
    ----------
    candidates : int
        Servers sampled per role and decision.
    count_own_dispatches : bool
        Whether dispatches of this host since the last load report are added to the
        reported load.
    plan_start_time : bool
        Whether a prefill is delayed until a decode slot and a link share are expected
        to be free when it ends.
    window_increase : float
        Growth of the send window for a result that is accepted at once, requests.
    window_decrease : float
        Relative decrease of the send window for each ``target_wait_s`` by which the
        wait of a result exceeds ``target_wait_s``.
    min_decrease_interval_s : float
        Minimum time between two decreases of the window, seconds.
    target_wait_s : float
        Wait of a prefill result for a decode slot at which the slots stay full,
        seconds.
    urgent_extra_requests : float
        Number of requests by which urgent requests may exceed the window.
    max_retry_delay_s : float
        Maximum delay before a server that answered busy is tried again, seconds.
        Results that took more prefill and older results are retried sooner, so they
        are more likely to get the next slot.
    result_lifetime_s : float
        Time for which engines keep a prefill result, seconds.
    max_waiting_results : int
        Number of own prefill results waiting for a slot at which no more patient
        prefills are started. Urgent prefills may start with one more waiting.
    max_own_prefill_s : float
        Maximum own unfinished prefill work for starting a patient prefill, in seconds
        at this host's share of the prefill speed.
    tie_margin_s : float
        Cost difference to the best candidate up to which one is chosen at random,
        seconds.
    max_prefill_backlog_s : float
        Prefill backlog above which patient requests wait in the router, seconds.
    """

    candidates: int = 4
    count_own_dispatches: bool = True
    plan_start_time: bool = True
    window_increase: float = 0.1
    window_decrease: float = 0.03
    min_decrease_interval_s: float = 0.3
    target_wait_s: float = 0.1
    urgent_extra_requests: float = 4.0
    max_retry_delay_s: float = 0.04
    result_lifetime_s: float = 0.9
    max_waiting_results: int = 1
    max_own_prefill_s: float = 0.2
    tie_margin_s: float = 0.015
    max_prefill_backlog_s: float = 0.3


@attrs.frozen
class RouterConfig:
    """Configure the router of one host.

    Attributes
    ----------
    data_centre : str
        Data centre of the host.
    max_waiting, max_waiting_per_workspace : int
        Maximum length of the queue of one service, requests.
    hosts : int
        Number of hosts that place work on the same servers.
    subset_size_per_role : int
        Maximum number of servers per service and role that the host polls for load
        and sends work to.
    patient_first_token_s : float
        Target time to the first token of patient requests, seconds. Service documents
        set a target for urgent requests only.
    remote_latency_s : float
        One-way latency to another data centre, seconds.
    policy : PairingPolicy
        Parameters of server selection.
    """

    data_centre: str
    max_waiting: int = 400
    max_waiting_per_workspace: int = 200
    hosts: int = 9
    subset_size_per_role: int = 24
    patient_first_token_s: float = 20.0
    remote_latency_s: float = 0.0015
    policy: PairingPolicy = PairingPolicy()


@attrs.frozen
class Placement:
    """Assign a request to a prefill server and a decode server.

    Attributes
    ----------
    start_at : float
        Start of the prefill, monotonic seconds. For a placement from
        ``Router.place_decode``, the time of the decode call.
    reservation_id : int
        Identifies the reservation inside the router.
    priority : int
        Priority passed to engines; lower values are served first.
    reason : str
        Explanation for decision records.
    """

    request_id: str
    prefill: BackendServer
    decode: BackendServer
    start_at: float
    reservation_id: int = 0
    priority: int = 0
    kv_bytes: int = 0
    output_tokens: int = 0
    reason: str = ""


@attrs.frozen
class ExpiredRequest:
    """Report a request that expired in the queue and is refused without running."""

    request_id: str
    refusal: Refusal
