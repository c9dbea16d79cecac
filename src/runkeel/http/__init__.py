"""The HTTP face of a node: routes, errors as problem+json, and the WSGI server."""
