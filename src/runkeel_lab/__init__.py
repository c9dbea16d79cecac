"""Stand-ins of external systems, soak tests, a demonstration, and log analysis."""
