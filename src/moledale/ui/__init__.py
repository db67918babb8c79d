"""Command lines of the daemons and of the operators' tool."""
