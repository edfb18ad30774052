"""Run the actors through which a host cooperates with the other hosts."""
