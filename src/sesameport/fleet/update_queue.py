"""Queue the member updates that are still to be passed on."""

from sesameport.fleet.peer_messages import MemberUpdate

__all__ = ["UpdateQueue"]


class UpdateQueue:
    """Hand out the least often sent updates first.

    A newer update on the same incarnation takes the place of the older one. The
    updates stand in one table per number of times sent, so that a queue of hundreds
    of updates after a mass start does not delay a new one or cost a sort per message.
    """

    def __init__(self):
        self._tables: list[dict[tuple[str, str], MemberUpdate]] = [{}]
        self._level: dict[tuple[str, str], int] = {}

    def __len__(self) -> int:
        """Return the number of updates that wait."""
        return len(self._level)

    def put(self, update: MemberUpdate) -> None:
        """Add an update as not yet sent."""
        key = (update.host, update.incarnation)
        level = self._level.get(key)
        if level is not None:
            del self._tables[level][key]
        self._tables[0][key] = update
        self._level[key] = 0

    def take(self, count: int, limit: int) -> list[MemberUpdate]:
        """Return up to ``count`` updates; each is dropped after ``limit`` times."""
        chosen: list[tuple[int, tuple[str, str]]] = []
        for level, table in enumerate(self._tables):
            for key in table:
                if len(chosen) >= count:
                    break
                chosen.append((level, key))
            if len(chosen) >= count:
                break
        return [self._sent(level, key, limit) for level, key in chosen]

    def _sent(self, level: int, key: tuple[str, str], limit: int) -> MemberUpdate:
        update = self._tables[level].pop(key)
        if level + 1 >= limit:
            del self._level[key]
            return update
        if level + 1 == len(self._tables):
            self._tables.append({})
        self._tables[level + 1][key] = update
        self._level[key] = level + 1
        return update
