"""Keeps requests that crash the servers that run them away from further servers, on all nodes."""
