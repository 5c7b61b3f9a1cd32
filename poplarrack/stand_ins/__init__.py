"""Test doubles of what surrounds a node: platform, backend servers, mesh."""
