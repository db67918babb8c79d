"""Scheduling under load: decisions that settings switch on for services that call for them."""
