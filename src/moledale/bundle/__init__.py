"""Versioned bundles: their schema, signatures, storage and adoption."""
