"""Decision logic as pure functions over typed views; no sockets and no clock."""
