"""Bounded exhaustive search of the protocol between owner and executors."""
