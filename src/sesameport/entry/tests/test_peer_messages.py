"""Test that messages of other hosts stay within their bounds."""

import time

import pytest
import zmq

from sesameport.adapters.caller_limits.memory_account import MemoryAccount
from sesameport.entry.messages import HostReport, HostReports
from sesameport.entry.peer_messages import PeerInbox, QueueLength
from sesameport.entry.peers import PeerExchange
from sesameport.platform.tests.conftest import wait_until


def test_messages_are_charged_until_the_actor_has_handled_them():
    # Guards against an actor that is slower than the messages arrive.
    account, waiting, reported = MemoryAccount(1_000_000, 0), [], []
    inbox = PeerInbox(
        account,
        50_000,
        max_message_bytes=6_000,
        report=lambda address, bound: reported.append(bound),
        when_handled=waiting.append,
    )
    assert inbox.accept(2_000)
    inbox.finish()
    assert not inbox.is_full()
    assert inbox.accept(4_000)
    inbox.finish()
    assert inbox.is_full()
    assert inbox.is_full()
    assert account.used == inbox.held == 60_000
    for done in waiting:
        done()
    assert (inbox.is_full(), account.used, inbox.held) == (False, 0, 0)
    assert not inbox.accept(6_001)
    assert inbox.accept(6_001, is_snapshot=True)
    assert reported == ["peer-messages", "peer-message-bytes"]


@pytest.mark.parametrize("size", [100, 5_000, 91_425, 500_000, 5_000_000])
def test_queue_of_a_slow_host_is_bounded_in_bytes(size):
    queue = QueueLength(1_048_576)
    lengths = [queue.record(size) for _ in range(300)]
    length = [200, *(found for found in lengths if found)][-1]
    assert length * size <= 1_048_576 or length == 2
    # The length returns to normal after the large messages.
    lengths = [queue.record(100) for _ in range(1_000)]
    assert [length, *(found for found in lengths if found)][-1] == 200


def test_host_that_does_not_read_delays_no_other_host():
    # Guards against a sender that is held up by, or collects bytes for, a slow host.
    received = []
    sender = PeerExchange("h1", "127.0.0.1", 0, lambda message: None).start()
    reader = PeerExchange("h2", "127.0.0.1", 0, received.append).start()
    reader.connect({sender.address})
    context = zmq.Context()
    slow = context.socket(zmq.SUB)
    slow.linger, slow.rcvhwm, slow.rcvbuf = 0, 1, 4_096
    slow.subscribe(b"")
    slow.connect(f"tcp://{sender.address}")
    sequence = 0
    charged = {f"workspace-{number:06}": 1.0 for number in range(4_000)}

    def newest():
        reports = [r for m in received if isinstance(m, HostReports) for r in m.reports]
        return max((report.sequence for report in reports), default=0)

    until = time.monotonic() + 20.0
    while newest() < 300 and time.monotonic() < until:
        sequence += 1
        sender.publish(HostReport("h1", 1, sequence, {}, charged, 1, {}, {}, []))
        time.sleep(0.005)
    slow.close()
    context.term()
    wait_until(lambda: newest() >= 300)
