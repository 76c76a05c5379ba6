"""Soak test: gateway processes on loopback addresses under random faults."""
