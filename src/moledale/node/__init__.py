"""The tasks of one entry instance and the supervisor tree that runs them."""
