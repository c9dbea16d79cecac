"""Batch jobs: accepted, stored, run on engines, scored, listed and ended."""
