"""Distribute a service mesh's configuration and carry its calls."""

__version__ = '0.1.0'
