"""HTTP server of the workflow processes, within one budget a process."""
