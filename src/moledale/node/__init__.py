"""The tasks of one entry instance and the supervisor tree above them."""
