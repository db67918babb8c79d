"""Generated code for the peer protocol."""
