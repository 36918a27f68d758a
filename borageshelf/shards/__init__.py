"""State of batch work: records, transitions, commits, shard ownership."""
