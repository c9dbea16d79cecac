"""Tests of the record service."""
