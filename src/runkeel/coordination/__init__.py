"""Coordination of the nodes: election through the store, succession and weight rollouts."""
