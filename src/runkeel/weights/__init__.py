"""Weight versions and their paced roll-out."""
