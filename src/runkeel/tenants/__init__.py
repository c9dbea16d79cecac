"""Who may call: tenants, their keys, and what a caller's key allows."""
