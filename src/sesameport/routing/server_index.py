"""Sample a constant number of candidate servers, whatever the size of the fleet."""

import random
import zlib
from collections import defaultdict

import attrs

__all__ = ["ServerIndex", "watched_servers"]

_TRIES_PER_CANDIDATE = 3


def watched_servers(servers, data_centre: str, per_role: int, salt: int) -> list:
    """Return the servers that one host reads reports of and sends work to.

    Up to ``per_role`` per service and role, half of them from the own data centre,
    chosen by rendezvous hashing with the host's ``salt``, so that the choice hardly
    changes when servers come and go and differs between hosts.
    """
    groups = defaultdict(list)
    for server in servers:
        groups[server.service, server.role].append(server)

    def rank(server) -> int:
        return zlib.crc32(f"{salt}/{server.name}".encode())

    watched = []
    for group in groups.values():
        near = sorted((s for s in group if s.data_centre == data_centre), key=rank)
        far = sorted((s for s in group if s.data_centre != data_centre), key=rank)
        kept = near[: max(per_role // 2, per_role - len(far))]
        watched += kept + far[: per_role - len(kept)]
    return watched


@attrs.define
class ServerIndex:
    """Hold the servers of each service by role and data centre.

    ``sample`` takes a part from the own data centre and the rest from all of them. Its
    cost depends on ``count`` only.
    """

    data_centre: str
    _near: dict[tuple[str, str], list[str]] = attrs.field(factory=dict)
    _far: dict[tuple[str, str], list[str]] = attrs.field(factory=dict)

    def set_servers(self, servers) -> None:
        """Replace the servers."""
        self._near, self._far = {}, {}
        for server in servers:
            near = server.data_centre == self.data_centre
            groups = self._near if near else self._far
            if server.can_prefill():
                groups.setdefault((server.service, "prefill"), []).append(server.name)
            if server.can_decode():
                groups.setdefault((server.service, "decode"), []).append(server.name)
            if not server.can_prefill() and not server.can_decode():
                groups.setdefault((server.service, "plain"), []).append(server.name)

    def sample(self, service, role, count, usable, rng: random.Random) -> list[str]:
        """Return up to ``count`` different names for which ``usable(name)`` holds."""
        near = self._near.get((service, role), [])
        far = self._far.get((service, role), [])
        chosen = self._draw(near, (count + 1) // 2, usable, rng)
        chosen += self._draw(far, count - len(chosen), usable, rng)
        if len(chosen) < count and len(near) > (count + 1) // 2:
            for name in self._draw(near, count - len(chosen), usable, rng):
                if name not in chosen:
                    chosen.append(name)
        return chosen

    def has(self, service: str, role: str) -> bool:
        """Tell whether any server of a service has a role."""
        key = (service, role)
        return bool(self._near.get(key) or self._far.get(key))

    @staticmethod
    def _draw(names, count, usable, rng: random.Random) -> list[str]:
        if len(names) <= count * _TRIES_PER_CANDIDATE:
            picked = rng.sample(names, len(names))
        else:
            picked = rng.sample(names, count * _TRIES_PER_CANDIDATE)
        chosen = []
        for name in picked:
            if len(chosen) >= count:
                break
            if usable(name):
                chosen.append(name)
        return chosen
