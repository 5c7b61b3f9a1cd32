"""Tests of poplarrack, run by ``python -m unittest``."""
