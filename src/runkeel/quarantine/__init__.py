"""Quarantines requests that crash the servers that run them, on all nodes of the cluster."""
