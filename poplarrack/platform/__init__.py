"""Adapt poplarrack to the users' platform by translation only.

This package holds everything that depends on the platform: the names of
settings, headers and store keys, and the formats of messages. It makes no
decisions of its own.
"""
