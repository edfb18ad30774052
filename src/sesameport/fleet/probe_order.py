"""Choose the next host to probe."""

import random

from sesameport.fleet.member_table import MemberTable

__all__ = ["ProbeOrder"]


class ProbeOrder:
    """Iterate over the hosts of the own data centre and over the other data centres.

    The order is shuffled for each round. Every host is probed once per round (SWIM
    2002, section 4.3), and the hosts do not probe the same target at the same time.
    """

    def __init__(self, table: MemberTable, rng: random.Random):
        self._table = table
        self._rng = rng
        self._own_centre = table.own.data_centre
        self._local_round: list[str] = []
        self._remote_round: list[str] = []

    def next_local(self, include_unresponsive: bool) -> str:
        """Return a host of the own data centre, or an empty string.

        Hosts whose incarnation must be confirmed come first. With
        ``include_unresponsive``, a host that is listed but not alive comes next.
        """
        members = self._table.members
        for name in list(self._table.probe_first):
            del self._table.probe_first[name]
            member = members.get(name)
            if member and member.data_centre == self._own_centre:
                return name
        unresponsive = self._unresponsive_hosts()
        if unresponsive and include_unresponsive:
            return self._rng.choice(unresponsive)
        for _ in range(2):
            while self._local_round:
                member = members.get(self._local_round.pop())
                if member is None or member.data_centre != self._own_centre:
                    continue
                if member.is_alive():
                    return member.name
            self._local_round = self._alive_hosts_of(self._own_centre)
            self._rng.shuffle(self._local_round)
        return self._rng.choice(unresponsive) if unresponsive else ""

    def next_remote(self) -> str:
        """Return a host of the next other data centre, or an empty string."""
        members = self._table.members.values()
        if not self._remote_round:
            centres = {member.data_centre for member in members}
            centres.discard(self._own_centre)
            self._remote_round = sorted(centres)
            self._rng.shuffle(self._remote_round)
        if not self._remote_round:
            return ""
        centre = self._remote_round.pop()
        names = self._alive_hosts_of(centre)
        if not names:
            names = [m.name for m in members if m.data_centre == centre]
        return self._rng.choice(sorted(names)) if names else ""

    def _alive_hosts_of(self, centre: str) -> list[str]:
        members = self._table.members.values()
        return [m.name for m in members if m.data_centre == centre and m.is_alive()]

    def _unresponsive_hosts(self) -> list[str]:
        return [
            member.name
            for member in self._table.members.values()
            if member.data_centre == self._own_centre
            and member.listed
            and not member.is_alive()
        ]
