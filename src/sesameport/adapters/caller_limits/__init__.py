"""Bound what clients can make an entry host hold; see docs/design/caller-limits.md."""
