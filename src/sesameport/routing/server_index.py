"""Sample candidate servers at a cost that does not depend on the size of the fleet."""

import random
import zlib
from collections import defaultdict

import attrs

__all__ = ["ServerIndex", "select_server_subset"]

_SAMPLES_PER_CANDIDATE = 3
"""Number of servers drawn per candidate, because some may not be usable."""


def select_server_subset(servers, data_centre: str, per_role: int, salt: int) -> list:
    """Return the subset of servers that one host polls for load and sends work to.

    The subset has up to ``per_role`` servers per service and role, so that a host's
    traffic does not grow with the fleet. Half of them are in ``data_centre`` if there
    are enough on both sides. Servers are chosen by rendezvous hashing with the host's
    ``salt``: hosts get different subsets, and a subset changes little when servers are
    added or removed.
    """
    groups = defaultdict(list)
    for server in servers:
        groups[server.service, server.role].append(server)

    def rank(server) -> int:
        return zlib.crc32(f"{salt}/{server.name}".encode())

    subset = []
    for group in groups.values():
        local = sorted((s for s in group if s.data_centre == data_centre), key=rank)
        remote = sorted((s for s in group if s.data_centre != data_centre), key=rank)
        kept_local = local[: max(per_role // 2, per_role - len(remote))]
        subset += kept_local + remote[: per_role - len(kept_local)]
    return subset


@attrs.define
class ServerIndex:
    """Index the servers of each service by role and by local or remote data centre."""

    data_centre: str
    _local: dict[tuple[str, str], list[str]] = attrs.field(factory=dict)
    _remote: dict[tuple[str, str], list[str]] = attrs.field(factory=dict)

    def set_servers(self, servers) -> None:
        """Replace the indexed servers."""
        self._local, self._remote = {}, {}
        for server in servers:
            is_local = server.data_centre == self.data_centre
            groups = self._local if is_local else self._remote
            if server.can_prefill():
                groups.setdefault((server.service, "prefill"), []).append(server.name)
            if server.can_decode():
                groups.setdefault((server.service, "decode"), []).append(server.name)
            if not server.can_prefill() and not server.can_decode():
                groups.setdefault((server.service, "plain"), []).append(server.name)

    def sample(self, service, role, count, is_usable, rng: random.Random) -> list[str]:
        """Return up to ``count`` distinct names for which ``is_usable(name)`` is true.

        Half of them are local and half remote if there are enough. The cost depends on
        ``count`` only.
        """
        local = self._local.get((service, role), [])
        remote = self._remote.get((service, role), [])
        chosen = self._sample_usable(local, (count + 1) // 2, is_usable, rng)
        chosen += self._sample_usable(remote, count - len(chosen), is_usable, rng)
        if len(chosen) < count and len(local) > (count + 1) // 2:
            for name in self._sample_usable(local, count - len(chosen), is_usable, rng):
                if name not in chosen:
                    chosen.append(name)
        return chosen

    def has_role(self, service: str, role: str) -> bool:
        """Return whether any server of a service has a role."""
        key = (service, role)
        return bool(self._local.get(key) or self._remote.get(key))

    @staticmethod
    def _sample_usable(names, count, is_usable, rng: random.Random) -> list[str]:
        if len(names) <= count * _SAMPLES_PER_CANDIDATE:
            sampled = rng.sample(names, len(names))
        else:
            sampled = rng.sample(names, count * _SAMPLES_PER_CANDIDATE)
        chosen = []
        for name in sampled:
            if len(chosen) >= count:
                break
            if is_usable(name):
                chosen.append(name)
        return chosen
