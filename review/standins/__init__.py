"""Stand-ins and harness of the review's scripts; standard library only."""
