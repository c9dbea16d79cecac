"""Request path: routing, server selection, forwarding, retries and stream relaying."""
