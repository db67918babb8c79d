"""Streams over several requests of their callers: which servers may go on with them."""
