"""Run an entry host, which admits, places and forwards the requests of callers."""
