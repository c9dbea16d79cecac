"""Adapters for back ends: model engines and applications."""
