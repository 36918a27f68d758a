"""Parsing, checking and publication of the operators' configuration."""
