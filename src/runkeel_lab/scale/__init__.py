"""Scale runs: many hollow nodes and engines in few processes, beside real ones."""
