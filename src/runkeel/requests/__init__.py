"""The caller's path from entry node to back end and back."""
