"""The HTTP listener of a node for client requests."""
