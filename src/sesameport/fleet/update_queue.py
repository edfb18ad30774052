"""Queue member updates for dissemination."""

from sesameport.fleet.peer_messages import MemberUpdate

__all__ = ["UpdateQueue"]


class UpdateQueue:
    """Queue updates and return those sent the fewest times first.

    A newer update on an incarnation replaces the older one. Updates are stored in one
    dictionary per number of times sent. After a mass start the queue holds hundreds of
    updates; a new one is still sent first, and no message needs a sort.
    """

    def __init__(self):
        self._levels: list[dict[tuple[str, str], MemberUpdate]] = [{}]
        self._level_of_key: dict[tuple[str, str], int] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._level_of_key)

    def put(self, update: MemberUpdate) -> None:
        """Add an update that has not been sent yet."""
        key = (update.host, update.incarnation)
        level = self._level_of_key.get(key)
        if level is not None:
            del self._levels[level][key]
        self._levels[0][key] = update
        self._level_of_key[key] = 0

    def next_updates(self, count: int, limit: int) -> list[MemberUpdate]:
        """Return up to ``count`` updates; each is removed after ``limit`` sends."""
        chosen: list[tuple[int, tuple[str, str]]] = []
        for level, updates in enumerate(self._levels):
            for key in updates:
                if len(chosen) >= count:
                    break
                chosen.append((level, key))
            if len(chosen) >= count:
                break
        return [self._mark_sent(level, key, limit) for level, key in chosen]

    def _mark_sent(self, level: int, key: tuple[str, str], limit: int) -> MemberUpdate:
        update = self._levels[level].pop(key)
        if level + 1 >= limit:
            del self._level_of_key[key]
            return update
        if level + 1 == len(self._levels):
            self._levels.append({})
        self._levels[level + 1][key] = update
        self._level_of_key[key] = level + 1
        return update
