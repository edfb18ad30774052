"""Accept callers' requests and run them on engines and plain services."""
