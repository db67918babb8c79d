"""The users' platform as it speaks: names, formats and calls, and nothing that decides."""
