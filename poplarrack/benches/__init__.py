"""Bench cases with figures and bounds, run by ``poplarrack-bench``."""
