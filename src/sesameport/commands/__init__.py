"""Hold the command line."""
