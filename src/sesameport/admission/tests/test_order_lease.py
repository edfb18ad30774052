"""Test that only one host at a time may send orders."""

import copy
import random

import attrs
import pytest

from sesameport.admission.order_lease import (
    LeaseStep,
    OrderLease,
    OrderRecord,
    decode_record,
    encode_record,
    next_epoch,
)

OTHER_HOST_RECORD = OrderRecord("other", 3)


def test_lease_of_another_host_is_taken_over_only_after_it_is_unchanged_for_long():
    lease = OrderLease("own", 6.0)
    assert lease.next_step(OTHER_HOST_RECORD, 10, 0.0) == LeaseStep.WAIT
    assert lease.next_step(OTHER_HOST_RECORD, 10, 5.9) == LeaseStep.WAIT
    assert lease.next_step(OTHER_HOST_RECORD, 11, 6.0) == LeaseStep.WAIT
    assert lease.next_step(OTHER_HOST_RECORD, 11, 11.9) == LeaseStep.WAIT
    assert lease.next_step(OTHER_HOST_RECORD, 11, 12.0) == LeaseStep.TAKE_OVER


def test_missing_or_own_record_is_written_without_a_wait():
    lease = OrderLease("own", 6.0)
    assert lease.next_step(None, 0, 0.0) == LeaseStep.CREATE
    assert lease.next_step(OrderRecord("own", 1), 4, 0.0) == LeaseStep.RENEW


def test_order_is_not_sent_long_after_the_write():
    # A host may be suspended between the lease write and its order.
    lease = OrderLease("own", 6.0)
    assert lease.may_send(100.0, 100.5)
    assert not lease.may_send(100.0, 101.5)


def test_record_round_trips_and_invalid_data_is_rejected():
    record = OrderRecord("own", 2, "i-1", "decode", 1.5)
    assert decode_record(encode_record(record)) == record
    assert decode_record(b"junk") is None
    assert decode_record(b'{"holder": 1}') is None


@attrs.define
class Store:
    """Hold the lease object of a store that goes back to copies of itself.

    Every write is conditional on the version, and versions are given out again. The
    stored value is None or a record with its version.
    """

    era: int = 1
    version: int = 10
    stored: tuple[OrderRecord, int] | None = None
    copies: list = attrs.field(factory=list)

    def read(self):
        record, version = self.stored or (None, 0)
        return record, version, self.era

    def write(self, record, version):
        if version != (self.stored[1] if self.stored else 0):
            return False
        self.version += 1
        self.stored = record, self.version
        return True

    def come_back(self, rng):
        self.version, self.stored = copy.deepcopy(rng.choice(self.copies))
        self.era += 1


@pytest.mark.parametrize("seed", range(50))
def test_no_number_has_two_holders_after_restores_of_the_store(seed):
    # Writes are carried out late, also in a new era, and their answers are lost. Few
    # other objects change, so a restored store often assigns the same versions again.
    rng, store, now = random.Random(seed), Store(), 0.0
    store.copies.append((store.version, store.stored))
    leases = [OrderLease(f"h{number}", 6.0) for number in range(3)]
    seen, holders, late, newest = {}, {}, [], 0
    for _ in range(1_500):
        now += rng.choice([0.5, 7.0])
        lease, draw = rng.choice(leases), rng.random()
        if draw < 0.05:
            store.version += 1
        elif draw < 0.1:
            store.copies = [*store.copies[-2:], (store.version, store.stored)]
        elif draw < 0.12:
            store.come_back(rng)
        elif draw < 0.2 and late:
            store.write(*late.pop(rng.randrange(len(late))))
        elif draw >= 0.2:
            record, version, era = store.read()
            since = seen.setdefault((lease.host, era), now)
            step = lease.next_step(record, version, now, era, since)
            epoch = next_epoch(step, record, version, era)
            if step == LeaseStep.WAIT:
                continue
            written = OrderRecord(lease.host, epoch)
            if rng.random() < 0.2:
                late.append((written, version))
            elif store.write(written, version):
                assert holders.setdefault(epoch, lease.host) == lease.host
                assert epoch >= newest
                newest = epoch
    assert len(holders) > 10
