"""Who coordinates a service: election through the store, succession, weight versions."""
