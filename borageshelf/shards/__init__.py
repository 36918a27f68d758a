"""Batch state: records, transitions, commits and shard ownership."""
