"""Authentication of callers: tenants and their API keys."""
