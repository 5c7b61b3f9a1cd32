"""Distribute service mesh configuration and carry calls by it."""

__version__ = '0.1.0'
