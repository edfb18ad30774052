"""Build the views of a host's state for its components and for operators."""
