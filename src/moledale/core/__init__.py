"""Decision logic as pure functions over typed views, without I/O; callers pass in the time."""
