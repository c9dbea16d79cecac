"""HTTP connections to backends: model engines and application servers."""
