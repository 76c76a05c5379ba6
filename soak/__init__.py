"""Soak test: real gateway processes on one machine under random faults."""
