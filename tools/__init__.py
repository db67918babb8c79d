"""Measurement tools."""
