"""Choose which host to probe next."""

import random

from sesameport.fleet.member_table import MemberTable

__all__ = ["ProbeOrder"]


class ProbeOrder:
    """Go through the hosts of the own data centre and through the other data centres.

    Each round is shuffled, so every host is probed once per round (SWIM 2002,
    section 4.3) and the hosts do not probe the same target at the same time.
    """

    def __init__(self, table: MemberTable, rng: random.Random):
        self._table = table
        self._rng = rng
        self._centre = table.own.data_centre
        self._local: list[str] = []
        self._remote: list[str] = []

    def next_local(self, silent_turn: bool) -> str:
        """Return a host of the own data centre, or an empty text.

        Hosts whose incarnation is in doubt come first. On a silent turn a listed
        host that does not count as alive is tried.
        """
        members = self._table.members
        for name in list(self._table.wanted):
            del self._table.wanted[name]
            member = members.get(name)
            if member and member.data_centre == self._centre:
                return name
        silent = self._silent_hosts()
        if silent and silent_turn:
            return self._rng.choice(silent)
        for _ in range(2):
            while self._local:
                member = members.get(self._local.pop())
                if member is None or member.data_centre != self._centre:
                    continue
                if member.is_alive():
                    return member.name
            self._local = self._alive_of(self._centre)
            self._rng.shuffle(self._local)
        return self._rng.choice(silent) if silent else ""

    def next_remote(self) -> str:
        """Return a host of the next other data centre, or an empty text."""
        members = self._table.members.values()
        if not self._remote:
            centres = {member.data_centre for member in members}
            centres.discard(self._centre)
            self._remote = sorted(centres)
            self._rng.shuffle(self._remote)
        if not self._remote:
            return ""
        centre = self._remote.pop()
        names = self._alive_of(centre)
        if not names:
            names = [m.name for m in members if m.data_centre == centre]
        return self._rng.choice(sorted(names)) if names else ""

    def _alive_of(self, centre: str) -> list[str]:
        members = self._table.members.values()
        return [m.name for m in members if m.data_centre == centre and m.is_alive()]

    def _silent_hosts(self) -> list[str]:
        return [
            member.name
            for member in self._table.members.values()
            if member.data_centre == self._centre
            and member.listed
            and not member.is_alive()
        ]
