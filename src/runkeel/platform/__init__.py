"""Adapters for the platform: object API, machine list, weight store, scorers."""
