"""Load: seeded open-loop arrivals, callers and the records of what each was told."""
