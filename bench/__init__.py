"""Measurements and the demo."""
