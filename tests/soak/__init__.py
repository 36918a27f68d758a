"""Randomized soak: real processes under faults that come from outside."""
