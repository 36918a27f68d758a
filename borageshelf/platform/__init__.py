"""Interfaces and adapters of the platform services."""
