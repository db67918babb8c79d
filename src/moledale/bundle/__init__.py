"""Versioned configuration bundles: schema, signatures, storage and comparison."""
