"""Programs that measure one thing each; their figures stand in docs/measurements.md."""
