"""Serve callers of a platform: the request path, its actor and the links to others."""
