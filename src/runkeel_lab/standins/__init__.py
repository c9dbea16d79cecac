"""In-process stand-ins for external systems: document store, peer network, HTTP."""
