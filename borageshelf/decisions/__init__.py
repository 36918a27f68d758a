"""Pure decision functions: no I/O, no clock, no global random state."""
