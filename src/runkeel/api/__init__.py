"""Data types, configuration and interfaces shared by all parts; no I/O."""
