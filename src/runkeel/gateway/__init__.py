"""The path of a client's request: route, choose a server, send, retry, relay."""
