"""Check that the servers that one host uses are bounded and spread."""

from sesameport.routing.server_index import watched_servers
from sesameport.world import BackendServer, ServerRole


def test_subset_is_bounded_and_spreads_hosts():
    """Guards against polling cost that grows with the number of replicas."""
    servers = [
        BackendServer(
            f"s{i}", "llm", "decode", f"dc{i % 7}", f"127.0.0.1:{i}", ServerRole.DECODE
        )
        for i in range(600)
    ]
    used: dict[str, int] = {}
    for host in range(49):
        subset = watched_servers(servers, "dc3", 16, host)
        assert len(subset) == 16
        near = [server for server in subset if server.data_centre == "dc3"]
        assert len(near) == 8
        for server in near:
            used[server.name] = used.get(server.name, 0) + 1
    # 49 hosts with 8 near servers each over 86 servers are 4.6 hosts a server.
    assert len(used) >= 80
    assert max(used.values()) <= 14
