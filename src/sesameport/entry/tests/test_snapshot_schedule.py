"""Test when hosts send snapshots with the configuration."""

from sesameport.entry.snapshot_schedule import SnapshotSchedule


def test_versions_of_a_large_configuration_leave_room_on_a_narrow_link():
    # Guards against a link that carries nothing else: six versions of 0.5 MB in six
    # seconds from three hosts take 14 s on 5 Mbit/s, and reads of the store waited.
    schedule, sent, now = SnapshotSchedule(), [], 0.0
    for step in range(60):
        now = 0.25 * step
        version = min(6, 1 + int(now))
        schedule.record_peer_request(now if step % 8 == 0 else -10.0)
        if not (schedule.record_change(now) and schedule.take_send(now)):
            continue
        if schedule.take_configuration(version, now):
            schedule.record_size(500_000)
            sent.append((now, version))
    assert 500_000 * len(sent) <= 100_000 * (now + 5.0)
    # The newest version is sent although it had to wait.
    assert sent[-1][1] == 6


def test_small_configurations_are_sent_at_once():
    schedule = SnapshotSchedule()
    schedule.record_peer_request(1.0)
    for number in range(5):
        now = 1.0 + 0.5 * number
        assert schedule.record_change(now) and schedule.take_send(now)
        assert schedule.take_configuration(number, now)
        schedule.record_size(40_000)
