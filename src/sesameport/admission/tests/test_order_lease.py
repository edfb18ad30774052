"""Test that only one host at a time may send orders."""

from sesameport.admission.order_lease import (
    LeaseStep,
    OrderLease,
    OrderRecord,
    decode_record,
    encode_record,
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
