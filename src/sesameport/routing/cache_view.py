"""Estimate which prompt prefixes each server has cached, from incomplete events."""

from collections import OrderedDict

import attrs

from sesameport.interfaces import CacheEvents

__all__ = ["CacheView", "PREFIX_STEP_TOKENS"]

PREFIX_STEP_TOKENS = 1_024
"""Tokens by which each prefix digest of a prompt extends the one before."""

_UNCERTAIN_WEIGHT = 0.5
"""Weight of an entry after a gap in its server's events.

The missing events may include its eviction, but most entries survive a gap.
"""


@attrs.define
class _CacheEntry:
    epoch: int


@attrs.define
class _ServerCache:
    entries: OrderedDict[str, _CacheEntry] = attrs.field(factory=OrderedDict)
    sequence: int = 0
    epoch: int = 0


@attrs.define
class CacheView:
    """Estimate how much of a prompt is in the prefix cache of each server.

    Each entry has the epoch of its server at the time it was stored. A gap in the
    server's events increments the epoch, so older entries are uncertain until an event
    or a cache hit confirms them.

    Attributes
    ----------
    max_entries_per_server, max_servers_per_prefix, max_prefixes : int
        Limits on memory use.
    """

    max_entries_per_server: int = 2_000
    max_servers_per_prefix: int = 8
    max_prefixes: int = 50_000
    _servers: dict[str, _ServerCache] = attrs.field(factory=dict)
    _servers_by_prefix: OrderedDict[str, OrderedDict[str, None]] = attrs.field(
        factory=OrderedDict
    )

    def apply_events(self, events: CacheEvents) -> None:
        """Apply cache events of a server; old and duplicate events are ignored."""
        cache = self._servers.setdefault(events.server, _ServerCache())
        if events.last_sequence < cache.sequence and not events.events:
            # The engine restarted: its event sequence began anew, its cache is empty.
            self.remove_server(events.server)
            cache = self._servers.setdefault(events.server, _ServerCache())
        for event in sorted(events.events, key=lambda event: event.sequence):
            if event.sequence <= cache.sequence:
                continue
            if event.sequence > cache.sequence + 1:
                cache.epoch += 1
            cache.sequence = event.sequence
            if event.stored:
                self._store(events.server, cache, event.prefix_digest)
            else:
                self._evict(events.server, cache, event.prefix_digest)
        if events.last_sequence > cache.sequence:
            cache.epoch += 1
            cache.sequence = events.last_sequence

    def confirm(self, server: str, digests) -> None:
        """Record that a server has just used or computed these prefixes."""
        cache = self._servers.setdefault(server, _ServerCache())
        for digest in digests:
            self._store(server, cache, digest)

    def remove_server(self, server: str) -> None:
        """Remove all entries of a server that left or crashed."""
        cache = self._servers.pop(server, None)
        for digest in cache.entries if cache else ():
            self._remove_holder(digest, server)

    def cached_tokens(self, server: str, digests) -> float:
        """Return the expected number of prompt tokens that a server has cached.

        ``digests`` identify the prompt's prefixes, shortest first. Uncertain entries
        have a lower weight.
        """
        cache = self._servers.get(server)
        if cache is None:
            return 0.0
        expected = 0.0
        for digest in digests:
            entry = cache.entries.get(digest)
            if entry is None:
                break
            is_certain = entry.epoch == cache.epoch
            expected += PREFIX_STEP_TOKENS * (1.0 if is_certain else _UNCERTAIN_WEIGHT)
        return expected

    def servers_with_prefix(self, digests, limit: int) -> list[str]:
        """Return up to ``limit`` servers that have cached the longest known prefix.

        The server that stored or used the prefix most recently is last.
        """
        for digest in reversed(digests):
            servers_with_prefix = self._servers_by_prefix.get(digest)
            if servers_with_prefix:
                return list(servers_with_prefix)[-limit:]
        return []

    def entry_count(self) -> int:
        """Return the number of entries of all servers."""
        return sum(len(cache.entries) for cache in self._servers.values())

    def _store(self, server: str, cache: _ServerCache, digest: str) -> None:
        cache.entries[digest] = _CacheEntry(cache.epoch)
        cache.entries.move_to_end(digest)
        if len(cache.entries) > self.max_entries_per_server:
            old, _ = cache.entries.popitem(last=False)
            self._remove_holder(old, server)
        servers_with_prefix = self._servers_by_prefix.setdefault(digest, OrderedDict())
        self._servers_by_prefix.move_to_end(digest)
        servers_with_prefix[server] = None
        servers_with_prefix.move_to_end(server)
        if len(servers_with_prefix) > self.max_servers_per_prefix:
            servers_with_prefix.popitem(last=False)
        if len(self._servers_by_prefix) > self.max_prefixes:
            self._servers_by_prefix.popitem(last=False)

    def _evict(self, server: str, cache: _ServerCache, digest: str) -> None:
        if cache.entries.pop(digest, None) is not None:
            self._remove_holder(digest, server)

    def _remove_holder(self, digest: str, server: str) -> None:
        servers_with_prefix = self._servers_by_prefix.get(digest)
        if servers_with_prefix is None:
            return
        servers_with_prefix.pop(server, None)
        if not servers_with_prefix:
            del self._servers_by_prefix[digest]
