"""Test the size and the distribution of the server subsets of hosts."""

from sesameport.domain import BackendServer, ServerRole
from sesameport.routing.server_index import select_server_subset


def test_subset_is_bounded_and_differs_between_hosts():
    """Guard against polling cost that grows with the number of replicas."""
    servers = [
        BackendServer(
            f"s{i}", "llm", "decode", f"dc{i % 7}", f"127.0.0.1:{i}", ServerRole.DECODE
        )
        for i in range(600)
    ]
    used: dict[str, int] = {}
    for host in range(49):
        subset = select_server_subset(servers, "dc3", 16, host)
        assert len(subset) == 16
        local = [server for server in subset if server.data_centre == "dc3"]
        assert len(local) == 8
        for server in local:
            used[server.name] = used.get(server.name, 0) + 1
    # 49 hosts with 8 local servers each out of 86 give 4.6 hosts per server.
    assert len(used) >= 80
    assert max(used.values()) <= 14
