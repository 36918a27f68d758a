"""Adapters of the users' platform: names, formats and calls only."""
