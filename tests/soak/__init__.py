"""Randomized soak: real processes under injected faults."""
