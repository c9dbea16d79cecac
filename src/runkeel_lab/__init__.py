"""Emulator of the served systems, load, experiments and reports."""
