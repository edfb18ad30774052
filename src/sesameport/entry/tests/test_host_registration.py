"""Test when a host registers again."""

from unittest.mock import Mock

from sesameport.entry.host_registration import HostRegistration
from sesameport.platform.tests.conftest import wait_until


def test_few_hosts_register_again_soon_in_a_new_era():
    # Guards against hosts that stay unknown to new ones for seconds, though few share
    # the calls of the store.
    directory = Mock(**{"host_count.return_value": 2, "join.return_value": True})
    timers = Mock(**{"now.return_value": 100.0})
    registration = HostRegistration(directory, timers, tuple)
    registration.start()
    timers.call_at.call_args.args[2](100.0)
    timers.call_at.reset_mock()
    wait_until(lambda: registration.begin_era() or timers.call_at.called)
    for call in timers.call_at.call_args_list:
        assert 100.0 <= call.args[1] <= 100.1
