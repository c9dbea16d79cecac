"""Heartbeats, failure detection and the view of live nodes."""
