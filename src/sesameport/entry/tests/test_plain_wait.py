"""Test that a plain request which stops waiting for a permit holds no server."""

import pykka
import pytest

from sesameport.admission import FleetUse, ServerUse
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry import plain_handler
from sesameport.entry.plain_admission import PlainAdmission
from sesameport.entry.plain_handler import PlainHandler
from sesameport.entry.servers import EntryServer

SERVER = EntryServer("s1", "desk", "127.0.0.1:9", "a", ServerRole.PLAIN)


class Part:
    """Stand for parts that play no role, and let the request wait for a permit."""

    def __getattr__(self, name):
        return lambda *args, **fields: None


class Permits(Part):
    is_given = False

    def has_limits(self, now):
        return True

    def usable(self, servers, now):
        return servers if self.is_given else []

    def is_cold(self, server, now):
        return False

    def wait_for(self, candidates, rank, now):
        return type("Wait", (), {"seconds": 0.05})

    def cost_factor(self, server):
        return 1.0

    def spend(self, service, now, count):
        return True


class Candidates(Part):
    def usable(self, req, now):
        return [SERVER]


@pytest.mark.parametrize("grant", ["before", "after", "never"])
def test_server_that_is_granted_too_late_is_released(monkeypatch, grant):
    # The actor of a host that was frozen granted a server to a request which had given
    # up. It counted as running there, at all hosts, until the process ended.
    permits, use = Permits(), FleetUse()
    admission = PlainAdmission(
        "a",
        Candidates(),
        permits,
        use,
        permits,
        permits,
        lambda: 1.0,
        lambda at: None,
        lambda service, now: {},
    )
    future = admission.admit(m.AdmitPlain("r1", "desk", "w", 1.0), 0.0)
    assert isinstance(future, pykka.Future)
    if grant == "before":
        permits.is_given = True
        admission.place_waiting(0.1)
        assert use.total_for("s1").active_requests == 1
    told = []
    actor = type("Actor", (), {"tell": staticmethod(told.append)})
    monkeypatch.setattr(plain_handler, "PERMIT_TIMEOUT_S", 0.0)
    handler = PlainHandler(actor, None, None, None)
    late = pykka.ThreadingFuture()
    assert isinstance(handler._wait_for_permit(late), m.Refused)
    assert told == [m.CancelPlainWait(late)]
    admission.cancel_wait(m.CancelPlainWait(future))
    permits.is_given = grant == "after"
    admission.place_waiting(0.2)
    assert use.total_for("s1") == ServerUse()
