"""Measure the product in cases with bounds, for ``poplarrack-bench``."""
