"""Replicated configuration, ownership and replicated records."""
