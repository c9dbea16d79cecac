"""Operators' query and command language, its HTTP routes, and the ``runkeel ctl`` client."""
