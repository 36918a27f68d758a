"""Checked configuration: documents, checks and publication."""
