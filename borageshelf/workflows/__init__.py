"""Jobs of several steps: records, ownership and the owner's decisions."""
