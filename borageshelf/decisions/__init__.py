"""Pure decisions: no I/O, no clock and no global random state."""
