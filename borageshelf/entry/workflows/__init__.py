"""The entry process of the workflow scheduler."""
