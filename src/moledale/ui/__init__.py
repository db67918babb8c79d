"""Command line of the daemon and of the operators' tool."""
