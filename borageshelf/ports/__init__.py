"""Interfaces of the platform services and the HTTP adapters of the trial."""
