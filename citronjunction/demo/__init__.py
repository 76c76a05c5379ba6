"""Demonstration of the whole system on loopback, with a summary."""
