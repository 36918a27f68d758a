"""The agent process of the workflow scheduler."""
