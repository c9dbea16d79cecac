"""Small measurements of single parts, whose figures stand in docs/design."""
