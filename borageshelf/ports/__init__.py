"""Interfaces of the platform services and the adapters of the trial."""
