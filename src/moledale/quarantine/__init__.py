"""Requests that are held back since servers crash under them."""
