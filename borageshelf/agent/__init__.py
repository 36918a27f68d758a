"""The agent process beside each target."""
