"""Test that a failure while a message is handled does not stop a host unnoticed."""

import pykka

from sesameport.entry import messages as m
from sesameport.platform.tests.conftest import wait_until


def test_failure_after_the_answer_leaves_the_actor_running(cluster):
    # Guards against a second answer to the same request, which stopped the actor.
    cluster.configure()
    host = cluster.start_host()
    wait_until(host.is_ready)
    future = pykka.ThreadingFuture()
    future.set("answered")
    message = m.AdmitGeneration(1, "r", None, "w", 0.0, 0.9, 3.6, False, 1, future)
    host._actor.tell(message)
    host.usable_servers()
    assert host._actor.is_alive()
    assert host.is_ready()


def test_host_without_admission_is_not_ready(cluster):
    # Guards against a load balancer that sends callers to a host that answers none.
    cluster.configure()
    host = cluster.start_host()
    wait_until(host.is_ready)
    host._actor.stop()
    assert host._unready_reasons() == ["admission has ended"]
