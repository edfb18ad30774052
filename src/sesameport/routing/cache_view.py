"""Index which servers hold which prompt prefixes, from late and incomplete events."""

from collections import OrderedDict

import attrs

from sesameport.interfaces import CacheEvents

__all__ = ["CacheView", "PREFIX_TOKENS"]

PREFIX_TOKENS = 1_024
# Weight of an entry after a gap in its server's events: the missing events may have
# evicted it, but most entries outlive a gap.
_UNCERTAIN_WEIGHT = 0.5


@attrs.define
class _Entry:
    epoch: int


@attrs.define
class _ServerCache:
    entries: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)
    sequence: int = 0
    epoch: int = 0


@attrs.define
class CacheView:
    """Expect how much of a prompt each server has in its prefix cache.

    An entry carries its server's epoch. A gap in the events raises the epoch, which
    makes all older entries uncertain until an event or a hit confirms them.

    Attributes
    ----------
    max_entries_per_server, max_holders : int
        Bounds of the memory used.
    """

    max_entries_per_server: int = 2_000
    max_holders: int = 8
    max_prefixes: int = 50_000
    _servers: dict[str, _ServerCache] = attrs.field(factory=dict)
    _holders: OrderedDict[str, OrderedDict[str, None]] = attrs.field(
        factory=OrderedDict
    )

    def take(self, events: CacheEvents) -> None:
        """Take in events; repeated and old ones are ignored."""
        cache = self._servers.setdefault(events.server, _ServerCache())
        if events.last_sequence < cache.sequence and not events.events:
            # The engine restarted and counts from the start again; its cache is empty.
            self.forget(events.server)
            cache = self._servers.setdefault(events.server, _ServerCache())
        for event in sorted(events.events, key=lambda item: item.sequence):
            if event.sequence <= cache.sequence:
                continue
            if event.sequence > cache.sequence + 1:
                cache.epoch += 1
            cache.sequence = event.sequence
            if event.stored:
                self._store(events.server, cache, event.prefix_digest)
            else:
                self._drop(events.server, cache, event.prefix_digest)
        if events.last_sequence > cache.sequence:
            cache.epoch += 1
            cache.sequence = events.last_sequence

    def confirm(self, server: str, digests) -> None:
        """Note that a server has just used or computed these prefixes."""
        cache = self._servers.setdefault(server, _ServerCache())
        for digest in digests:
            self._store(server, cache, digest)

    def forget(self, server: str) -> None:
        """Drop a server that left or crashed."""
        cache = self._servers.pop(server, None)
        for digest in cache.entries if cache else ():
            self._drop_holder(digest, server)

    def cached_tokens(self, server: str, digests) -> float:
        """Return the expected cached part of a prompt, tokens.

        ``digests`` are those of the prompt's prefixes, shortest first. Uncertain
        entries count with a lower weight.
        """
        cache = self._servers.get(server)
        if cache is None:
            return 0.0
        expected = 0.0
        for digest in digests:
            entry = cache.entries.get(digest)
            if entry is None:
                break
            certain = entry.epoch == cache.epoch
            expected += PREFIX_TOKENS * (1.0 if certain else _UNCERTAIN_WEIGHT)
        return expected

    def holders(self, digests, limit: int) -> list[str]:
        """Return up to ``limit`` servers that hold the longest known prefix."""
        for digest in reversed(digests):
            holders = self._holders.get(digest)
            if holders:
                return list(holders)[-limit:]
        return []

    def size(self) -> int:
        """Return the number of entries over all servers."""
        return sum(len(cache.entries) for cache in self._servers.values())

    def _store(self, server: str, cache: _ServerCache, digest: str) -> None:
        cache.entries[digest] = _Entry(cache.epoch)
        cache.entries.move_to_end(digest)
        if len(cache.entries) > self.max_entries_per_server:
            old, _ = cache.entries.popitem(last=False)
            self._drop_holder(old, server)
        holders = self._holders.setdefault(digest, OrderedDict())
        self._holders.move_to_end(digest)
        holders[server] = None
        holders.move_to_end(server)
        if len(holders) > self.max_holders:
            holders.popitem(last=False)
        if len(self._holders) > self.max_prefixes:
            self._holders.popitem(last=False)

    def _drop(self, server: str, cache: _ServerCache, digest: str) -> None:
        if cache.entries.pop(digest, None) is not None:
            self._drop_holder(digest, server)

    def _drop_holder(self, digest: str, server: str) -> None:
        holders = self._holders.get(digest)
        if holders is None:
            return
        holders.pop(server, None)
        if not holders:
            del self._holders[digest]
